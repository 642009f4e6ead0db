import {Effect} from 'effect';
import type {HttpClient, HttpReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendError} from './backend_error.js';
import {BackendFailure} from './backend_failure.js';
import {
  buildCallHeaders,
  buildReplyId,
  type BackendTimeouts,
  type OnLeaving,
} from './http_engine_client.js';
import {isCompleteMatchingReply} from './is_complete_matching_reply.js';
import {ServiceClient, type ServiceRequest} from './service_client.js';
import {
  findReplyError,
  isLeavingReply,
  toBackendError,
} from './to_backend_error.js';

/** Client of the backend servers of a plain service over HTTP. */
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
        replyId: buildReplyId(call),
        ...this.timeouts,
      })
      .pipe(
        Effect.mapError(error => toBackendError(id, error)),
        Effect.flatMap(reply => {
          if (isLeavingReply(call, reply)) this.onLeaving(id);
          const replyError = findReplyError(call, reply);
          if (replyError !== undefined) return Effect.fail(replyError);
          return isCompleteMatchingReply(call, request.method, reply)
            ? Effect.succeed(reply)
            : Effect.fail(new BackendError(BackendFailure.INVALID_REPLY, id));
        }),
      );
  }
}
