import {Outcome} from '@greengagecross/common';
import type {HttpReply} from '@greengagecross/http';
import {buildOutcomeHeaders} from './answer_refusal.js';
import type {ServiceJob} from './service_job.js';

/**
 * The part of a worker's reply that is sent to the caller; `contentType` is
 * empty when the reply has none.
 */
export type ServiceAnswer = Pick<HttpReply, 'status' | 'body'> & {
  readonly contentType: string;
};

/** Converts a worker's reply to the answer for the caller. */
export function toServiceAnswer(reply: HttpReply): ServiceAnswer {
  const {status, body} = reply;
  return {status, body, contentType: reply.headers['content-type'] ?? ''};
}

/** Sends a worker's complete answer to the caller. */
export function sendServiceAnswer(
  job: ServiceJob,
  answer: ServiceAnswer,
): void {
  const {status, body, contentType} = answer;
  const headers = buildOutcomeHeaders(Outcome.COMPLETE, job.requestId);
  if (contentType !== '') headers['content-type'] = contentType;
  job.exchange.send(status, headers, body);
}
