import type {Effect, Schema} from 'effect';
import type {Address} from '@greengagecross/common';
import type {PeerError} from './peer_error.js';
import type {PeerMethod} from './peer_method.js';

/** Client of the JSON-RPC methods of other daemons. */
export abstract class PeerRpc {
  /**
   * Calls a method and decodes its result. Fails with a PeerError if the peer
   * is unreachable, reports an error, does not answer within the timeout, or
   * sends a result that does not match the schema.
   *
   * @param result schema of the result
   * @param timeoutMs timeout of this call in milliseconds, if it differs from
   *     the default
   */
  abstract send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs?: number,
  ): Effect.Effect<S['Type'], PeerError>;
}
