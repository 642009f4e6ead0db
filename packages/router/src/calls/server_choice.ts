import type {Address} from '@greengagecross/common';
import type {BackendServer} from '../model/backend_server.js';

/** Backend server chosen for an attempt. */
export interface ServerChoice {
  readonly server: BackendServer;
  /**
   * Engine whose cached context of the prompt is copied to the server before the
   * request is run; undefined when nothing is copied.
   */
  readonly cacheSource?: Address;
}
