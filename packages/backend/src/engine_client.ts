import type {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import type {OpenReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import type {BackendError} from './backend_error.js';
import type {EngineLoad} from './engine_load.js';

/** A model engine's interface. */
export abstract class EngineClient {
  /** Opens a chat completion; the reply's stream is the engine's own. */
  abstract open(
    call: BackendCall,
    body: Buffer,
  ): Effect.Effect<OpenReply, BackendError>;

  /** Opens the rest of a stream after the event with the given index. */
  abstract resume(
    call: BackendCall,
    afterIndex: number,
  ): Effect.Effect<OpenReply, BackendError>;

  /** Cancels an attempt. */
  abstract cancel(call: BackendCall): Effect.Effect<void, BackendError>;

  /** Fetches the load as the engine last reported it; it lags. */
  abstract fetchLoad(
    server: BackendServer,
  ): Effect.Effect<EngineLoad, BackendError>;
}
