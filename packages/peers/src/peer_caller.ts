import type {Effect, Schema} from 'effect';
import type {Address} from '@greengagecross/common';
import type {PeerError} from './peer_error.js';
import type {PeerMethod} from './peer_method.js';

/** Calls methods of other daemons. */
export abstract class PeerCaller {
  /**
   * Calls a method and decodes its result.
   *
   * @param heldMs how long the other may hold the call before it answers.
   */
  abstract send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    heldMs?: number,
  ): Effect.Effect<S['Type'], PeerError>;
}
