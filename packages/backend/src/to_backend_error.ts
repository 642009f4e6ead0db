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

/** Turns a failed HTTP exchange into what it says about the request. */
export function toBackendError(
  backendId: string,
  error: HttpError,
): BackendError {
  if (error.phase === RequestPhase.NOT_SENT) {
    return new BackendError(BackendFailure.NOT_SENT, backendId, error);
  }
  const failure =
    error.failure === HttpFailure.SILENT
      ? BackendFailure.SILENT
      : BackendFailure.CUT;
  return new BackendError(failure, backendId, error);
}

/**
 * Tells whether a reply says that its backend server is leaving.
 *
 * The word counts only beside the attempt's own id: it may be another's.
 */
export function isLeavingReply(
  call: BackendCall,
  reply: Pick<OpenReply, 'headers'>,
): boolean {
  if (reply.headers[BackendHeader.REQUEST_ID] !== call.attemptId) return false;
  return reply.headers[BackendHeader.LEAVING] === 'true';
}

/**
 * Reads a reply's own word that the request did not run, if it says so.
 *
 * The word counts only beside the attempt's own id: it may be another's.
 */
export function findRefusal(
  call: BackendCall,
  reply: Pick<OpenReply, 'headers'>,
): BackendError | undefined {
  if (reply.headers[BackendHeader.NOT_RUN] !== 'true') return undefined;
  const backendId = call.server.id;
  if (reply.headers[BackendHeader.REQUEST_ID] !== call.attemptId) {
    return new BackendError(BackendFailure.BROKEN, backendId);
  }
  const failure = isLeavingReply(call, reply)
    ? BackendFailure.LEAVING
    : BackendFailure.REFUSED;
  const seconds = Number(reply.headers['retry-after'] ?? 0);
  const retryAfterMs = Number.isFinite(seconds) ? seconds * MS_PER_SECOND : 0;
  return new BackendError(failure, backendId, undefined, retryAfterMs);
}
