import type {Effect, Schema} from 'effect';
import type {Address} from '@greengagecross/common';
import type {PeerError} from './peer_error.js';
import type {PeerMethod} from './peer_method.js';

/** Client of the JSON-RPC methods of other daemons. */
export abstract class PeerRpc {
  /**
   * Calls a method and decodes its result. Fails with a PeerError if the peer
   * is unreachable, reports an error, does not begin to answer within the
   * timeout, or sends a result that is cut short or does not match the schema.
   *
   * @param result schema of the result
   * @param timeoutMs time for the reply to begin, in milliseconds, if it differs
   *     from the default; a reply that has begun is ended by silence and by a
   *     longer bound for the whole call
   */
  abstract send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs?: number,
  ): Effect.Effect<S['Type'], PeerError>;
}
