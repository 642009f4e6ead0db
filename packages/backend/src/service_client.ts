import type {Effect} from 'effect';
import type {HttpReply, OutgoingHeaders} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import type {BackendError} from './backend_error.js';

/** HTTP request to a plain service, as the caller sent it. */
export interface ServiceRequest {
  readonly method: string;
  /** Path within the service, including the query. */
  readonly path: string;
  readonly headers: OutgoingHeaders;
  readonly body: Buffer;
}

/**
 * Client of the backend servers of a plain service, which may serve any HTTP
 * method and path.
 */
export abstract class ServiceClient {
  /** Sends a request and reads the complete reply. */
  abstract send(
    call: BackendCall,
    request: ServiceRequest,
  ): Effect.Effect<HttpReply, BackendError>;
}
