import type {Effect} from 'effect';
import type {HttpReply, OutgoingHeaders} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import type {BackendError} from './backend_error.js';

/** A call of a plain service as the caller sent it. */
export interface ServiceRequest {
  readonly method: string;
  /** Path within the service, with its query. */
  readonly path: string;
  readonly headers: OutgoingHeaders;
  readonly body: Buffer;
}

/** A plain service's interface: any HTTP method and path. */
export abstract class ServiceClient {
  /** Sends a call and reads the whole reply. */
  abstract send(
    call: BackendCall,
    request: ServiceRequest,
  ): Effect.Effect<HttpReply, BackendError>;
}
