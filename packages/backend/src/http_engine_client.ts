import {Effect} from 'effect';
import {
  decodeJson,
  PriorityClass,
  toError,
  type BackendServer,
} from '@greengagecross/common';
import type {
  HttpClient,
  OpenReply,
  OutgoingHeaders,
  OutgoingRequest,
  ReplyId,
} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendError} from './backend_error.js';
import {BackendFailure} from './backend_failure.js';
import {BackendHeader} from './backend_headers.js';
import {closeOrDiscard} from './close_or_discard.js';
import {EngineClient} from './engine_client.js';
import {EngineLoadSchema, type EngineLoad} from './engine_load.js';
import {
  findReplyError,
  isLeavingReply,
  toBackendError,
} from './to_backend_error.js';

/** Timeouts of connections to backend servers, in milliseconds. */
export interface BackendTimeouts {
  readonly connectTimeoutMs: number;
  /** Longest time without a byte from the backend server. */
  readonly silenceMs: number;
}

/** Values of the priority header; 0 is the most urgent. */
const ENGINE_PRIORITY: Readonly<Record<PriorityClass, number>> = {
  [PriorityClass.INTERACTIVE]: 0,
  [PriorityClass.CONSULTATION]: 1,
  [PriorityClass.BACKGROUND]: 2,
};

/** Called with the id of a backend server that replies that it is leaving. */
export type OnLeaving = (backendId: string) => void;

/** Builds the request headers that carry the metadata of a call. */
export function buildCallHeaders(call: BackendCall): OutgoingHeaders {
  return {
    [BackendHeader.REQUEST_ID]: call.attemptId,
    [BackendHeader.CUSTOMER]: call.customer,
    [BackendHeader.CHAT]: call.chat,
    [BackendHeader.PRIORITY]: String(ENGINE_PRIORITY[call.priority]),
    [BackendHeader.DEADLINE_MS]: String(Math.max(0, call.deadlineMs)),
  };
}

/**
 * Builds the id that replies to a call carry. It belongs to one attempt, also in
 * replies to the requests that resume or cancel the attempt's stream.
 */
export function buildReplyId(call: BackendCall): ReplyId {
  return {header: BackendHeader.REQUEST_ID, value: call.attemptId};
}

/** Client of a model engine over HTTP. */
export class HttpEngineClient extends EngineClient {
  constructor(
    private readonly client: HttpClient,
    private readonly timeouts: BackendTimeouts,
    private readonly onLeaving: OnLeaving = () => undefined,
  ) {
    super();
  }

  override open(
    call: BackendCall,
    body: Buffer,
  ): Effect.Effect<OpenReply, BackendError> {
    return this.openPath(call, {
      method: 'POST',
      path: '/v1/chat/completions',
      headers: {
        ...buildCallHeaders(call),
        'content-type': 'application/json',
      },
      body,
    });
  }

  override resume(
    call: BackendCall,
    afterIndex: number,
  ): Effect.Effect<OpenReply, BackendError> {
    return this.openPath(call, {
      method: 'GET',
      path: `/v1/streams/${call.attemptId}`,
      headers: {'last-event-id': String(afterIndex)},
    });
  }

  override cancel(call: BackendCall): Effect.Effect<void, BackendError> {
    const {id, host, port} = call.server;
    return this.client
      .send({
        address: {host, port},
        method: 'DELETE',
        path: `/v1/streams/${call.attemptId}`,
        replyId: buildReplyId(call),
        ...this.timeouts,
      })
      .pipe(
        Effect.mapError(error => toBackendError(id, error)),
        Effect.asVoid,
      );
  }

  override fetchLoad(
    server: BackendServer,
  ): Effect.Effect<EngineLoad, BackendError> {
    const {id, host, port} = server;
    const outgoing = {address: {host, port}, method: 'GET', path: '/v1/load'};
    return this.client.send({...outgoing, ...this.timeouts}).pipe(
      Effect.mapError(error => toBackendError(id, error)),
      Effect.flatMap(reply =>
        Effect.try({
          try: () =>
            decodeJson(EngineLoadSchema, reply.body.toString(), 'load'),
          catch: thrown =>
            new BackendError(BackendFailure.INVALID_REPLY, id, toError(thrown)),
        }),
      ),
    );
  }

  private openPath(
    call: BackendCall,
    request: Pick<OutgoingRequest, 'method' | 'path' | 'headers' | 'body'>,
  ): Effect.Effect<OpenReply, BackendError> {
    const {id, host, port} = call.server;
    return this.client
      .open({
        address: {host, port},
        ...request,
        replyId: buildReplyId(call),
        ...this.timeouts,
      })
      .pipe(
        Effect.mapError(error => toBackendError(id, error)),
        Effect.flatMap(reply => {
          if (isLeavingReply(call, reply)) this.onLeaving(id);
          const replyError = findReplyError(call, reply);
          if (replyError === undefined) return Effect.succeed(reply);
          closeOrDiscard(call, reply);
          return Effect.fail(replyError);
        }),
      );
  }
}
