import type {Address} from '@greengagecross/common';
import type {BackendServer} from '../model/backend_server.js';

/** Backend server chosen for an attempt. */
export interface ServerChoice {
  readonly server: BackendServer;
  /**
   * Engine whose KV cache of the prompt is copied to the server before
   * execution; undefined when nothing is copied.
   */
  readonly memorySource?: Address;
}
