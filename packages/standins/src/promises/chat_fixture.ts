import {Effect, Exit, Scope} from 'effect';
import {HttpEngineClient} from '@greengagecross/backend';
import {
  FencingSupport,
  makeRandomId,
  Outcome,
  PlacementPreference,
  PriorityClass,
  ServiceKind,
  TicketCodec,
  type Address,
  type BackendServer,
  type Member,
  type Service,
} from '@greengagecross/common';
import {
  answerRefusal,
  buildOutcomeHeaders,
  ChatAttempt,
  ChatDispatcher,
  PermissiveGuard,
  ChatStream,
  NextTurnFactory,
  type ChatJob,
  type PlacementService,
  type SlotBroker,
} from '@greengagecross/daemon';
import type {RetryPolicy, ServiceTimes} from '@greengagecross/decisions';
import {HttpClient, HttpServer, type HttpExchange} from '@greengagecross/http';
import type {StandinChatBody} from '../backends/expected_answer.js';
import type {CallerRequest} from '../callers/caller_request.js';
import {WorkKind} from '../callers/caller_verdict.js';
import {readCallerReply} from '../callers/read_caller_reply.js';
import type {CallerReply} from '../callers/caller_reply.js';

const TIMEOUT_MS = 5000;
const MAX_BODY_BYTES = 1024 * 1024;
const SERVER_OPTIONS = {
  keepAliveMs: TIMEOUT_MS,
  headersTimeoutMs: TIMEOUT_MS,
  requestTimeoutMs: TIMEOUT_MS,
};

/** The daemon's chat path in front of one engine, run in this process. */
export class ChatFixture {
  private readonly callers = new HttpClient();
  private readonly engines = new HttpClient();
  private readonly scope = Scope.makeUnsafe();
  private readonly dispatcher: ChatDispatcher;

  /**
   * @param address address that the listener for callers is bound to.
   * @param engine address that the engine client connects to.
   */
  constructor(
    private readonly address: Address,
    private readonly engine: Address,
  ) {
    const timeouts = {connectTimeoutMs: TIMEOUT_MS, silenceMs: TIMEOUT_MS};
    const server: BackendServer = {
      id: 'engine',
      ...engine,
      availabilityZone: 'zone',
    };
    const placement = {
      choose: () => Effect.succeed([{server, choice: {maxWaitMs: 0}}]),
      recordAcceptingEngine: () => undefined,
    };
    const retries = {
      recordFirstTry: () => undefined,
      chooseWaitMs: () => undefined,
    };
    const broker = {
      acquire: (id: string, slotId: string) =>
        Effect.succeed({engine: id, slotId}),
      release: () => Effect.void,
    };
    this.dispatcher = new ChatDispatcher(
      placement as unknown as PlacementService,
      broker as unknown as SlotBroker,
      new ChatAttempt(
        new HttpEngineClient(this.engines, timeouts),
        new NextTurnFactory(
          new TicketCodec(['ticket-key-of-this-rig']),
          () => ({callerAddress: this.address}) as unknown as Member,
        ),
      ),
      retries as unknown as RetryPolicy,
      {record: () => undefined} as unknown as ServiceTimes,
      new PermissiveGuard(),
    );
  }

  /** Starts the HTTP listener for callers. */
  async start(): Promise<void> {
    const server = new HttpServer(
      {address: this.address, ...SERVER_OPTIONS},
      exchange => this.handle(exchange),
    );
    await Effect.runPromise(Scope.provide(server.start(), this.scope));
  }

  /** Sends a chat as a caller; undefined if the connection was lost. */
  async send(body: StandinChatBody): Promise<CallerReply | undefined> {
    const request: CallerRequest = {
      kind: WorkKind.CHAT,
      chat: 'chat',
      workId: 'work',
      ticket: undefined,
      body,
    };
    const reading = this.callers
      .open({
        address: this.address,
        method: 'POST',
        path: '/v1/chat/completions',
        body: JSON.stringify({...body, model: 'assistant'}),
        connectTimeoutMs: TIMEOUT_MS,
        silenceMs: TIMEOUT_MS,
      })
      .pipe(Effect.flatMap(reply => readCallerReply(reply, request, 0)));
    return Effect.runPromise(
      Effect.catch(reading, () => Effect.succeed(undefined)),
    );
  }

  /** Closes the idle connections to the engine. */
  closeIdle(): void {
    this.engines.pool.closeIdle(this.engine.host, this.engine.port);
  }

  /** Stops the listener and closes every connection. */
  async stop(): Promise<void> {
    this.callers.close();
    this.engines.close();
    await Effect.runPromise(Scope.close(this.scope, Exit.void));
  }

  private handle(exchange: HttpExchange): Effect.Effect<void> {
    const requestId = makeRandomId();
    return exchange.readBody(MAX_BODY_BYTES).pipe(
      Effect.orDie,
      Effect.flatMap(body => {
        const job = makeJob(exchange, requestId, body);
        return this.dispatcher.dispatch(job).pipe(
          Effect.catch(refusal =>
            Effect.sync(() => {
              if (job.stream?.isStarted() !== true) {
                answerRefusal(exchange, requestId, refusal);
                return;
              }
              const {outcome, reason} = refusal;
              job.stream.finish({outcome, reason, requestId}, false);
            }),
          ),
        );
      }),
    );
  }
}

const SERVICE: Service = {
  name: 'assistant',
  kind: ServiceKind.ENGINE,
  backendServers: [],
  placement: {preference: PlacementPreference.REUSE, maxLoadMultiple: 1.5},
  fencing: FencingSupport.IGNORED,
  nonRepeatablePaths: [],
  priority: PriorityClass.INTERACTIVE,
  deadlineMs: 60_000,
};

function makeJob(
  exchange: HttpExchange,
  requestId: string,
  body: Buffer,
): ChatJob {
  const headers = buildOutcomeHeaders(Outcome.COMPLETE, requestId);
  const {stream} = JSON.parse(body.toString()) as StandinChatBody;
  return {
    exchange,
    requestId,
    customer: {id: 'customer', keyHashes: [], services: [], maxInFlight: 100},
    service: SERVICE,
    chat: 'chat',
    ticket: undefined,
    body,
    stream:
      stream === true ? new ChatStream(exchange.response, headers) : undefined,
  };
}
