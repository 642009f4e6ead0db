import type {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import type {BackendError} from '../backend_error.js';
import type {FencedOrder, OrderAnswer} from './engine_order.js';
import type {EngineState} from './engine_state.js';

/** Client of the control interface through which an engine receives orders. */
export abstract class EngineControl {
  /** Fetches the state of the engine. */
  abstract fetchState(
    server: BackendServer,
  ): Effect.Effect<EngineState, BackendError>;

  /** Sends an order, which may take effect even if the call fails. */
  abstract send(
    server: BackendServer,
    order: FencedOrder,
  ): Effect.Effect<OrderAnswer, BackendError>;
}
