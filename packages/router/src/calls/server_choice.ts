import type {Address} from '@greengagecross/common';
import type {BackendServer} from '../model/backend_server.js';

/** Where a request goes next. */
export interface ServerChoice {
  readonly server: BackendServer;
  /** An engine whose memory of the prompt is copied to the server first. */
  readonly memorySource?: Address;
}
