import {Effect, Result} from 'effect';
import {
  HeaderName,
  parseAddress,
  type Address,
  type DirectoryAnswer,
} from '@greengagecross/common';
import {HttpClient} from '@greengagecross/http';
import type {CustomerPlan} from '../fleet/fleet_plan.js';
import {PlannedService} from '../fleet/fleet_plan.js';
import type {CallerRequest} from './caller_request.js';
import {WorkKind, type CallerVerdict} from './caller_verdict.js';
import {makeIdempotencyKey} from './make_idempotency_key.js';
import {readTold} from './read_told.js';
import {SendFailure} from './send_failure.js';
import type {Told} from './told.js';

const CONNECT_TIMEOUT_MS = 2000;
const SILENCE_MS = 20_000;

interface KeptAnswer {
  readonly addresses: readonly Address[];
  readonly untilMs: number;
  readonly keepMs: number;
}

const NOTHING_TOLD: Told = {
  outcome: undefined,
  isOwnWhole: false,
  reason: '',
  requestId: '',
  ticket: undefined,
  address: undefined,
  firstTokenMs: 0,
};

/** A customer's program: asks the directory, keeps its answer, connects. */
export class FleetCaller {
  private readonly client = new HttpClient();
  private readonly keys = new Map<string, string>();
  private readonly kept = new Map<string, KeptAnswer>();

  constructor(
    private readonly customer: CustomerPlan,
    private readonly entries: readonly Address[],
  ) {}

  /** Sends a request, trying the next address while none was connected to. */
  send(request: CallerRequest): Effect.Effect<CallerVerdict> {
    return Effect.gen({self: this}, function* () {
      const startMs = performance.now();
      const addresses = yield* this.findAddresses(request);
      let told = NOTHING_TOLD;
      for (const address of addresses) {
        const result = yield* Effect.result(this.sendTo(address, request));
        if (Result.isFailure(result)) {
          this.kept.delete(request.chat);
          if (result.failure === SendFailure.NOT_CONNECTED) continue;
          break;
        }
        told = result.success;
        this.putNext(request.chat, told.address);
        break;
      }
      return {
        kind: request.kind,
        told: told.outcome,
        isOwnWhole: told.isOwnWhole,
        reason: told.reason,
        requestId: told.requestId,
        workId: request.workId,
        ticket: told.ticket,
        firstTokenMs: told.firstTokenMs,
        totalMs: performance.now() - startMs,
      };
    });
  }

  /** Closes the connections. */
  close(): void {
    this.client.close();
  }

  /** Finds the key of some work: the same on every resend. */
  private findKey(request: CallerRequest): string {
    const {workId} = request;
    const known = request.idempotencyKey ?? this.keys.get(workId);
    const key = known ?? makeIdempotencyKey(Date.now());
    if (request.kind === WorkKind.RESERVATION) this.keys.set(workId, key);
    return key;
  }

  private findAddresses(
    request: CallerRequest,
  ): Effect.Effect<readonly Address[]> {
    return Effect.gen({self: this}, function* () {
      const kept = this.kept.get(request.chat);
      if (kept !== undefined && kept.untilMs > performance.now()) {
        return kept.addresses;
      }
      for (const entry of this.entries) {
        const asked = yield* Effect.result(this.askDirectory(entry, request));
        if (Result.isFailure(asked)) continue;
        const answer = asked.success;
        const addresses = answer.addresses.flatMap(a => parseAddress(a) ?? []);
        const {keepMs} = answer;
        const untilMs = performance.now() + keepMs;
        this.kept.set(request.chat, {addresses, untilMs, keepMs});
        return addresses;
      }
      return [];
    });
  }

  /** Puts the address that came with an answer first for the next turn. */
  private putNext(chat: string, text: string | undefined): void {
    const kept = this.kept.get(chat);
    const next = parseAddress(text ?? '');
    if (kept === undefined || next === undefined) return;
    const others = kept.addresses.filter(
      other => other.host !== next.host || other.port !== next.port,
    );
    const untilMs = performance.now() + kept.keepMs;
    this.kept.set(chat, {...kept, addresses: [next, ...others], untilMs});
  }

  private askDirectory(
    entry: Address,
    request: CallerRequest,
  ): Effect.Effect<DirectoryAnswer, Error> {
    const service =
      request.kind === WorkKind.CHAT ? PlannedService.ASSISTANT : '';
    const query = new URLSearchParams({chat: request.chat, service});
    return this.client
      .send({
        address: entry,
        method: 'GET',
        path: `/v1/directory?${query.toString()}`,
        headers: this.makeHeaders(request),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        silenceMs: CONNECT_TIMEOUT_MS,
      })
      .pipe(
        Effect.flatMap(reply =>
          reply.status === 200
            ? Effect.succeed(
                JSON.parse(reply.body.toString()) as DirectoryAnswer,
              )
            : Effect.fail(new Error(`status ${reply.status}`)),
        ),
      );
  }

  private sendTo(
    address: Address,
    request: CallerRequest,
  ): Effect.Effect<Told, SendFailure> {
    const startMs = performance.now();
    const {method, path, body} = makeCall(request);
    return this.client
      .open({
        address,
        method,
        path,
        headers: this.makeHeaders(request),
        body,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        silenceMs: SILENCE_MS,
      })
      .pipe(
        Effect.mapError(error =>
          error.phase === 'not-sent'
            ? SendFailure.NOT_CONNECTED
            : SendFailure.CUT,
        ),
        Effect.flatMap(reply => readTold(reply, request, startMs)),
      );
  }

  private makeHeaders(request: CallerRequest): Record<string, string> {
    const {ticket} = request;
    return {
      authorization: `Bearer ${this.customer.key}`,
      [HeaderName.CUSTOMER]: this.customer.id,
      [HeaderName.CHAT]: request.chat,
      [HeaderName.IDEMPOTENCY_KEY]: this.findKey(request),
      'content-type': 'application/json',
      ...(ticket === undefined ? {} : {[HeaderName.TICKET]: ticket}),
    };
  }
}

function makeCall(request: CallerRequest) {
  const booking = `/v1/services/${PlannedService.BOOKING}`;
  switch (request.kind) {
    case WorkKind.CHAT: {
      const metadata = {workId: request.workId};
      const body = {...request.body, model: PlannedService.ASSISTANT, metadata};
      const path = '/v1/chat/completions';
      return {method: 'POST', path, body: JSON.stringify(body)};
    }
    case WorkKind.LOOKUP:
      return {method: 'GET', path: `${booking}/cloths`, body: ''};
    case WorkKind.RESERVATION: {
      const body = JSON.stringify({workId: request.workId});
      return {method: 'POST', path: `${booking}/reservations`, body};
    }
  }
}
