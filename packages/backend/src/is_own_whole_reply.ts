import type {HttpReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendHeader} from './backend_headers.js';

const BODILESS_STATUSES = new Set([204, 304]);

/**
 * Tells whether a plain service's reply is known to be whole and this call's.
 *
 * A body that ends with its connection cannot be told from one cut short. A
 * service need not echo the call's id, but must not name another's.
 */
export function isOwnWholeReply(
  call: BackendCall,
  method: string,
  reply: HttpReply,
): boolean {
  const {headers, status} = reply;
  const echoed = headers[BackendHeader.REQUEST_ID];
  if (echoed !== undefined && echoed !== call.attemptId) return false;
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return true;
  if (headers['content-length'] !== undefined) return true;
  return headers['transfer-encoding'] === 'chunked';
}
