import type {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import type {BackendError} from '../backend_error.js';
import type {FencedOrder, OrderAnswer} from './engine_order.js';
import type {EngineState} from './engine_state.js';

/** The part of an engine's interface that takes orders. */
export abstract class EngineControl {
  /** Fetches what the engine has loaded and does. */
  abstract fetchState(
    server: BackendServer,
  ): Effect.Effect<EngineState, BackendError>;

  /** Sends an order; it may take effect although the call fails. */
  abstract send(
    server: BackendServer,
    order: FencedOrder,
  ): Effect.Effect<OrderAnswer, BackendError>;
}
