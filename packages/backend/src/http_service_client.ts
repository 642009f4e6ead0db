import {Effect} from 'effect';
import type {HttpClient, HttpReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import type {BackendError} from './backend_error.js';
import {
  buildCallHeaders,
  type BackendTimeouts,
  type OnLeaving,
} from './http_engine_client.js';
import {ServiceClient, type ServiceRequest} from './service_client.js';
import {
  findRefusal,
  isLeavingReply,
  toBackendError,
} from './to_backend_error.js';

/** A plain service over HTTP. */
export class HttpServiceClient extends ServiceClient {
  constructor(
    private readonly client: HttpClient,
    private readonly timeouts: BackendTimeouts,
    private readonly onLeaving: OnLeaving = () => undefined,
  ) {
    super();
  }

  override send(
    call: BackendCall,
    request: ServiceRequest,
  ): Effect.Effect<HttpReply, BackendError> {
    const {id, host, port} = call.server;
    return this.client
      .send({
        address: {host, port},
        method: request.method,
        path: request.path,
        headers: {...request.headers, ...buildCallHeaders(call)},
        body: request.body,
        ...this.timeouts,
      })
      .pipe(
        Effect.mapError(error => toBackendError(id, error)),
        Effect.flatMap(reply => {
          if (isLeavingReply(reply)) this.onLeaving(id);
          const refusal = findRefusal(id, reply);
          return refusal === undefined
            ? Effect.succeed(reply)
            : Effect.fail(refusal);
        }),
      );
  }
}
