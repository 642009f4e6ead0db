import type {Effect, Schema} from 'effect';
import type {Address} from '@greengagecross/common';
import type {PeerError} from './peer_error.js';
import type {PeerMethod} from './peer_method.js';

/** Calls methods of other daemons. */
export abstract class PeerCaller {
  /**
   * Calls a method and decodes its result.
   *
   * @param timeoutMs time until the call fails, where the caller's own does
   *     not fit, in milliseconds
   */
  abstract send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs?: number,
  ): Effect.Effect<S['Type'], PeerError>;
}
