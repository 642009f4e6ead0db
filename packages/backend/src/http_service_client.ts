import {Effect} from 'effect';
import {
  readBody,
  type HttpClient,
  type HttpReply,
  type OpenReply,
} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendError} from './backend_error.js';
import {BackendFailure} from './backend_failure.js';
import {closeOrDiscard} from './close_or_discard.js';
import {
  buildCallHeaders,
  buildReplyId,
  type BackendTimeouts,
  type OnLeaving,
} from './http_engine_client.js';
import {
  isCompleteMatchingReply,
  isReplyToOther,
} from './is_complete_matching_reply.js';
import {ServiceClient, type ServiceRequest} from './service_client.js';
import {
  findReplyError,
  isLeavingReply,
  toBackendError,
} from './to_backend_error.js';

/** Maximum size of a reply, which is buffered before it is relayed. */
const MAX_REPLY_BYTES = 16 * 1024 * 1024;

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
      .open({
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
        Effect.flatMap(reply => this.readReply(call, request.method, reply)),
      );
  }

  private readReply(
    call: BackendCall,
    method: string,
    reply: OpenReply,
  ): Effect.Effect<HttpReply, BackendError> {
    const {id} = call.server;
    const {status, headers, stream} = reply;
    if (isLeavingReply(call, reply)) this.onLeaving(id);
    const replyError = findReplyError(call, reply);
    if (replyError !== undefined) {
      closeOrDiscard(call, reply);
      return Effect.fail(replyError);
    }
    if (isReplyToOther(call, reply)) {
      closeOrDiscard(call, reply);
      return Effect.fail(new BackendError(BackendFailure.INVALID_REPLY, id));
    }
    return readBody(stream, MAX_REPLY_BYTES, id).pipe(
      Effect.onError(() => Effect.sync(() => stream.destroy())),
      Effect.mapError(error => toBackendError(id, error)),
      Effect.map(body => ({status, headers, body})),
      Effect.filterOrFail(
        complete => isCompleteMatchingReply(call, method, complete),
        () => new BackendError(BackendFailure.INVALID_REPLY, id),
      ),
    );
  }
}
