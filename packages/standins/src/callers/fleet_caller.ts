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
import {readCallerReply} from './read_caller_reply.js';
import {SendFailure} from './send_failure.js';
import type {CallerReply} from './caller_reply.js';

const CONNECT_TIMEOUT_MS = 2000;
const SILENCE_MS = 20_000;

/** Directory answer for one chat; `keepMs` is how long it may be used. */
interface CachedAnswer {
  readonly addresses: readonly Address[];
  readonly expiresAtMs: number;
  readonly keepMs: number;
}

const NO_REPLY: CallerReply = {
  outcome: undefined,
  isCompleteAndOwn: false,
  reason: '',
  requestId: '',
  ticket: undefined,
  address: undefined,
  firstTokenMs: 0,
};

/**
 * A customer's client: asks a daemon's directory for addresses, caches them for
 * each chat and sends requests there.
 */
export class FleetCaller {
  private readonly client = new HttpClient();
  private readonly workKeys = new Map<string, string>();
  private readonly answersByChat = new Map<string, CachedAnswer>();

  constructor(
    private readonly customer: CustomerPlan,
    private readonly directoryAddresses: readonly Address[],
  ) {}

  /** Sends a request to the first address that accepts a connection. */
  send(request: CallerRequest): Effect.Effect<CallerVerdict> {
    return Effect.gen({self: this}, function* () {
      const startMs = performance.now();
      const addresses = yield* this.findAddresses(request);
      let reply = NO_REPLY;
      for (const address of addresses) {
        const result = yield* Effect.result(this.sendTo(address, request));
        if (Result.isFailure(result)) {
          this.answersByChat.delete(request.chat);
          if (result.failure === SendFailure.NOT_CONNECTED) continue;
          break;
        }
        reply = result.success;
        this.putNextAddressFirst(request.chat, reply.address);
        break;
      }
      return {
        kind: request.kind,
        outcome: reply.outcome,
        isCompleteAndOwn: reply.isCompleteAndOwn,
        reason: reply.reason,
        requestId: reply.requestId,
        workId: request.workId,
        ticket: reply.ticket,
        firstTokenMs: reply.firstTokenMs,
        totalMs: performance.now() - startMs,
      };
    });
  }

  /** Closes all connections. */
  close(): void {
    this.client.close();
  }

  /** Finds the idempotency key of a request; each resend gets the same key. */
  private findKey(request: CallerRequest): string {
    const {workId} = request;
    const existing = request.idempotencyKey ?? this.workKeys.get(workId);
    const key = existing ?? makeIdempotencyKey(Date.now());
    if (request.kind === WorkKind.RESERVATION) this.workKeys.set(workId, key);
    return key;
  }

  private findAddresses(
    request: CallerRequest,
  ): Effect.Effect<readonly Address[]> {
    return Effect.gen({self: this}, function* () {
      const cached = this.answersByChat.get(request.chat);
      if (cached !== undefined && cached.expiresAtMs > performance.now()) {
        return cached.addresses;
      }
      for (const directoryAddress of this.directoryAddresses) {
        const result = yield* Effect.result(
          this.askDirectory(directoryAddress, request),
        );
        if (Result.isFailure(result)) continue;
        const answer = result.success;
        const addresses = answer.addresses.flatMap(a => parseAddress(a) ?? []);
        const {keepMs} = answer;
        const expiresAtMs = performance.now() + keepMs;
        this.answersByChat.set(request.chat, {
          addresses,
          expiresAtMs,
          keepMs,
        });
        return addresses;
      }
      return [];
    });
  }

  /** Makes the address that came with an answer the first for the next turn. */
  private putNextAddressFirst(
    chat: string,
    addressText: string | undefined,
  ): void {
    const cached = this.answersByChat.get(chat);
    const next = parseAddress(addressText ?? '');
    if (cached === undefined || next === undefined) return;
    const others = cached.addresses.filter(
      other => other.host !== next.host || other.port !== next.port,
    );
    const expiresAtMs = performance.now() + cached.keepMs;
    this.answersByChat.set(chat, {
      ...cached,
      addresses: [next, ...others],
      expiresAtMs,
    });
  }

  private askDirectory(
    directoryAddress: Address,
    request: CallerRequest,
  ): Effect.Effect<DirectoryAnswer, Error> {
    const service =
      request.kind === WorkKind.CHAT ? PlannedService.ASSISTANT : '';
    const query = new URLSearchParams({chat: request.chat, service});
    return this.client
      .send({
        address: directoryAddress,
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
  ): Effect.Effect<CallerReply, SendFailure> {
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
            : SendFailure.CONNECTION_LOST,
        ),
        Effect.flatMap(reply => readCallerReply(reply, request, startMs)),
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
