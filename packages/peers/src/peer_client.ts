import {Effect, Schema} from 'effect';
import {JSONRPCClient} from 'json-rpc-2.0';
import {
  decodeDocument,
  formatAddress,
  toError,
  type Address,
} from '@greengagecross/common';
import type {HttpClient, HttpReply} from '@greengagecross/http';
import {PeerRpc} from './peer_rpc.js';
import {PeerError} from './peer_error.js';
import type {PeerMethod} from './peer_method.js';

/** Path of the JSON-RPC endpoint on a control listener. */
export const PEER_PATH = '/rpc';

/** Longest time without a byte of a reply that has begun. */
const SILENCE_MS = 1000;
/** Added to the time for a reply to begin to get the bound of the whole call. */
const TRANSFER_TIMEOUT_MS = 10_000;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Calls other daemons' methods over persistent HTTP connections. */
export class PeerClient extends PeerRpc {
  /** @param key peer key sent with each call; the first of the fleet's keys */
  constructor(
    private readonly client: HttpClient,
    private readonly key: string,
    /** Default time for the reply of a call to begin, in milliseconds. */
    readonly timeoutMs: number,
  ) {
    super();
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs = this.timeoutMs,
  ): Effect.Effect<S['Type'], PeerError> {
    const target = formatAddress(address);
    return Effect.tryPromise({
      try: signal => this.request(address, method, params, timeoutMs, signal),
      catch: thrown => new PeerError(method, target, toError(thrown)),
    }).pipe(
      // A reply to another call leaves this one without a result.
      Effect.timeoutOrElse({
        duration: timeoutMs + TRANSFER_TIMEOUT_MS,
        orElse: () => Effect.fail(new PeerError(method, target)),
      }),
      Effect.flatMap(value =>
        Effect.try({
          try: () => decodeDocument(result, value, method),
          catch: thrown => new PeerError(method, target, toError(thrown)),
        }),
      ),
    );
  }

  private request(
    address: Address,
    method: PeerMethod,
    params: object,
    timeoutMs: number,
    signal: AbortSignal,
  ): PromiseLike<unknown> {
    const rpc: JSONRPCClient = new JSONRPCClient(async payload => {
      const body = JSON.stringify(payload);
      const call = this.sendPayload(address, body, timeoutMs);
      const reply = await Effect.runPromise(call, {signal});
      if (reply.status !== 200) throw new Error(`status ${reply.status}`);
      rpc.receive(JSON.parse(reply.body.toString()));
    });
    return rpc.request(method, params);
  }

  private sendPayload(
    address: Address,
    body: string,
    timeoutMs: number,
  ): Effect.Effect<HttpReply, unknown> {
    return this.client.send({
      address,
      method: 'POST',
      path: PEER_PATH,
      headers: {authorization: `Bearer ${this.key}`},
      body,
      connectTimeoutMs: timeoutMs,
      headTimeoutMs: timeoutMs,
      silenceMs: SILENCE_MS,
      totalTimeoutMs: timeoutMs + TRANSFER_TIMEOUT_MS,
      maxReplyBytes: MAX_RESPONSE_BYTES,
    });
  }
}
