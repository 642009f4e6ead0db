import {Effect, Exit, Scope} from 'effect';
import {HttpServiceClient} from '@greengagecross/backend';
import {
  FencingSupport,
  HeaderName,
  makeRandomId,
  Outcome,
  PlacementPreference,
  PriorityClass,
  SeededRandom,
  ServiceKind,
  type Address,
  type BackendServer,
  type Service,
} from '@greengagecross/common';
import {
  answerRefusal,
  AtMostOnceDispatcher,
  ClaimStore,
  GroupCommit,
  PermissiveGuard,
  RepeatableDispatcher,
  type PlacementService,
  type ServiceJob,
} from '@greengagecross/daemon';
import {BudgetedRetryPolicy, RetryBudget} from '@greengagecross/decisions';
import {HttpClient, HttpServer, type HttpExchange} from '@greengagecross/http';
import {FaultyTable} from './faulty_table.js';

const TIMEOUT_MS = 5000;
const MAX_BODY_BYTES = 1024 * 1024;
const ONCE_PATH = '/reservations';
const SERVER_OPTIONS = {
  keepAliveMs: TIMEOUT_MS,
  headersTimeoutMs: TIMEOUT_MS,
  requestTimeoutMs: TIMEOUT_MS,
};
const SERVICE: Service = {
  name: 'booking',
  kind: ServiceKind.PLAIN,
  backendServers: [],
  placement: {preference: PlacementPreference.REUSE, maxLoadMultiple: 1.5},
  fencing: FencingSupport.IGNORED,
  nonRepeatablePaths: [ONCE_PATH],
  priority: PriorityClass.INTERACTIVE,
  deadlineMs: 10_000,
};

/** A daemon's reply to one call. */
export interface CallReply {
  /** Undefined when the reply named none, or the connection was lost. */
  readonly outcome: Outcome | undefined;
  readonly requestId: string;
  readonly body: string;
}

/** The daemon's path of plain calls in front of one worker, in this process. */
export class ServiceFixture {
  private readonly callers = new HttpClient();
  private readonly workers = new HttpClient();
  private readonly scope = Scope.makeUnsafe();
  private readonly commits: GroupCommit;
  private readonly repeatable: RepeatableDispatcher;
  private readonly atMostOnce: AtMostOnceDispatcher;

  /**
   * @param address address that the listener for callers is bound to.
   * @param worker address that the service client connects to.
   */
  constructor(
    private readonly address: Address,
    worker: Address,
  ) {
    const timeouts = {connectTimeoutMs: TIMEOUT_MS, silenceMs: TIMEOUT_MS};
    const server: BackendServer = {
      id: 'worker',
      ...worker,
      availabilityZone: 'zone',
    };
    const placement = {
      listServers: () => Effect.succeed([server]),
    } as unknown as PlacementService;
    const random = new SeededRandom(1);
    const table = new FaultyTable(random);
    table.stopFaults();
    this.commits = new GroupCommit(table, () => 0);
    const workers = new HttpServiceClient(this.workers, timeouts);
    const guard = new PermissiveGuard();
    this.repeatable = new RepeatableDispatcher(
      placement,
      workers,
      new BudgetedRetryPolicy(new RetryBudget(), random),
      guard,
    );
    this.atMostOnce = new AtMostOnceDispatcher(
      placement,
      workers,
      new ClaimStore(this.commits),
      guard,
    );
  }

  /** Starts the HTTP listener for callers and the commits of claims. */
  async start(): Promise<void> {
    const server = new HttpServer(
      {address: this.address, ...SERVER_OPTIONS},
      exchange => this.handle(exchange),
    );
    const starting = Effect.andThen(
      Effect.forkScoped(this.commits.run()),
      server.start(),
    );
    await Effect.runPromise(Scope.provide(starting, this.scope));
  }

  /** Sends a call that may be repeated; its body is `workId`. */
  sendRepeatable(workId: string): Promise<CallReply> {
    return this.send('/lookups', workId, {});
  }

  /** Sends a call that runs at most once for its key; its body is `workId`. */
  sendAtMostOnce(workId: string, key: string): Promise<CallReply> {
    return this.send(ONCE_PATH, workId, {[HeaderName.IDEMPOTENCY_KEY]: key});
  }

  /** Stops the listener and closes every connection. */
  async stop(): Promise<void> {
    this.callers.close();
    this.workers.close();
    await Effect.runPromise(Scope.close(this.scope, Exit.void));
  }

  private async send(
    path: string,
    workId: string,
    headers: Readonly<Record<string, string>>,
  ): Promise<CallReply> {
    const sending = this.callers.send({
      address: this.address,
      method: 'POST',
      path,
      headers,
      body: workId,
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    });
    const none = {headers: {} as Record<string, unknown>, body: ''};
    const reply = await Effect.runPromise(
      Effect.catch(sending, () => Effect.succeed(none)),
    );
    return {
      outcome: reply.headers[HeaderName.OUTCOME] as Outcome | undefined,
      requestId: String(reply.headers[HeaderName.REQUEST_ID] ?? ''),
      body: reply.body.toString(),
    };
  }

  private handle(exchange: HttpExchange): Effect.Effect<void> {
    const requestId = makeRandomId();
    return exchange.readBody(MAX_BODY_BYTES).pipe(
      Effect.orDie,
      Effect.flatMap(body => {
        const job = makeJob(exchange, requestId, body);
        const isOnce = exchange.path === ONCE_PATH;
        const dispatcher = isOnce ? this.atMostOnce : this.repeatable;
        return dispatcher.dispatch(job);
      }),
      Effect.catch(refusal =>
        Effect.sync(() => answerRefusal(exchange, requestId, refusal)),
      ),
    );
  }
}

function makeJob(
  exchange: HttpExchange,
  requestId: string,
  body: Buffer,
): ServiceJob {
  const {method, path} = exchange;
  return {
    exchange,
    requestId,
    customer: {id: 'customer', keyHashes: [], services: [], maxInFlight: 100},
    service: SERVICE,
    chat: 'chat',
    request: {method, path, headers: {}, body},
  };
}
