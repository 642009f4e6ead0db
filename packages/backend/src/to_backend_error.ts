import {
  HttpFailure,
  RequestPhase,
  type HttpError,
  type OpenReply,
} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendError} from './backend_error.js';
import {BackendFailure} from './backend_failure.js';
import {BackendHeader} from './backend_headers.js';

const MS_PER_SECOND = 1000;

/**
 * Converts the error of an HTTP exchange to a BackendError, whose failure shows
 * whether the request may have run.
 */
export function toBackendError(
  backendId: string,
  error: HttpError,
): BackendError {
  if (error.phase === RequestPhase.NOT_SENT) {
    return new BackendError(BackendFailure.NOT_SENT, backendId, error);
  }
  return new BackendError(toBackendFailure(error), backendId, error);
}

function toBackendFailure({failure}: HttpError): BackendFailure {
  switch (failure) {
    case HttpFailure.SILENT:
      return BackendFailure.SILENT;
    case HttpFailure.MALFORMED:
      return BackendFailure.INVALID_REPLY;
    default:
      return BackendFailure.DISCONNECTED;
  }
}

/**
 * Returns whether a reply reports that its backend server is leaving the fleet.
 *
 * `x-leaving` counts only if the reply carries the id of this attempt;
 * otherwise, the reply may belong to another attempt.
 */
export function isLeavingReply(
  call: BackendCall,
  reply: Pick<OpenReply, 'headers'>,
): boolean {
  if (reply.headers[BackendHeader.REQUEST_ID] !== call.attemptId) return false;
  return reply.headers[BackendHeader.LEAVING] === 'true';
}

/**
 * Creates the error for a reply with `x-not-run: true`; undefined for any other
 * reply.
 *
 * The reply proves that the request did not run (REFUSED or LEAVING) only if it
 * carries the id of this attempt. Otherwise, the reply may belong to another
 * attempt: the error is INVALID_REPLY, and the request may have run.
 *
 * A `retry-after` header that is not a number of seconds counts as 0.
 */
export function findReplyError(
  call: BackendCall,
  reply: Pick<OpenReply, 'headers'>,
): BackendError | undefined {
  if (reply.headers[BackendHeader.NOT_RUN] !== 'true') return undefined;
  const backendId = call.server.id;
  if (reply.headers[BackendHeader.REQUEST_ID] !== call.attemptId) {
    return new BackendError(BackendFailure.INVALID_REPLY, backendId);
  }
  const failure = isLeavingReply(call, reply)
    ? BackendFailure.LEAVING
    : BackendFailure.REFUSED;
  const seconds = Number(reply.headers['retry-after'] ?? 0);
  const retryAfterMs = Number.isFinite(seconds) ? seconds * MS_PER_SECOND : 0;
  return new BackendError(failure, backendId, undefined, retryAfterMs);
}
