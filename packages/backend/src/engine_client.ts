import type {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import type {OpenReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import type {BackendError} from './backend_error.js';
import type {EngineLoad} from './engine_load.js';

/** Client of a model engine. */
export abstract class EngineClient {
  /** Opens a chat completion; the reply streams the engine's body unchanged. */
  abstract open(
    call: BackendCall,
    body: Buffer,
  ): Effect.Effect<OpenReply, BackendError>;

  /**
   * Reopens an attempt's stream after the last event received.
   *
   * @param afterIndex index of that event, from 0; -1 if none was received
   */
  abstract resume(
    call: BackendCall,
    afterIndex: number,
  ): Effect.Effect<OpenReply, BackendError>;

  /** Cancels an attempt on its engine. */
  abstract cancel(call: BackendCall): Effect.Effect<void, BackendError>;

  /** Fetches the engine's load report, which may be out of date. */
  abstract fetchLoad(
    server: BackendServer,
  ): Effect.Effect<EngineLoad, BackendError>;
}
