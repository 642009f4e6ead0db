import type {HttpReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendHeader} from './backend_headers.js';

const BODILESS_STATUSES = new Set([204, 304]);

/** Returns whether a reply carries the id of another attempt. */
export function isReplyToOther(
  call: BackendCall,
  reply: Pick<HttpReply, 'headers'>,
): boolean {
  const echoed = reply.headers[BackendHeader.REQUEST_ID];
  return echoed !== undefined && echoed !== call.attemptId;
}

/**
 * Returns whether a plain service's reply is complete and belongs to the call.
 *
 * The body needs a length or chunks: if only the end of the connection marks
 * the end of the body, a truncated body looks like a complete one. A service
 * need not echo the attempt id, but a reply with a different id is rejected.
 */
export function isCompleteMatchingReply(
  call: BackendCall,
  method: string,
  reply: HttpReply,
): boolean {
  const {headers, status} = reply;
  if (isReplyToOther(call, reply)) return false;
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return true;
  if (headers['content-length'] !== undefined) return true;
  return headers['transfer-encoding'] === 'chunked';
}
