import {discardBody, type OpenReply} from '@greengagecross/http';
import type {BackendCall} from './backend_call.js';
import {BackendHeader} from './backend_headers.js';

/**
 * Disposes of the body of a reply that is not used. Its connection is reused
 * only if the reply carries the id of the call's attempt; after any other one,
 * the attempt's own reply may still come, and would be taken for the reply to the
 * next request on the connection.
 */
export function closeOrDiscard(call: BackendCall, reply: OpenReply): void {
  const isOwn = reply.headers[BackendHeader.REQUEST_ID] === call.attemptId;
  if (isOwn) discardBody(reply.stream);
  else reply.stream.destroy();
}
