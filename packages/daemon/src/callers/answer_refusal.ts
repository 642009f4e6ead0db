import {
  HeaderName,
  makeRandomId,
  Outcome,
  OutcomeReason,
} from '@greengagecross/common';
import type {HttpExchange, OutgoingHeaders} from '@greengagecross/http';
import type {Refusal} from './refusal.js';

const MS_PER_SECOND = 1000;

/** Builds the headers that report a request's outcome and id. */
export function buildOutcomeHeaders(
  outcome: Outcome,
  requestId: string,
): Record<string, string> {
  return {
    [HeaderName.OUTCOME]: outcome,
    [HeaderName.REQUEST_ID]: requestId,
  };
}

/** Sends a refusal; the response must not have started. */
export function answerRefusal(
  exchange: HttpExchange,
  requestId: string,
  refusal: Refusal,
): void {
  const {outcome, reason, retryAfterMs} = refusal;
  const headers: OutgoingHeaders = {
    ...buildOutcomeHeaders(outcome, requestId),
    [HeaderName.REASON]: reason,
    ...buildRetryAfter(retryAfterMs),
  };
  // Closes the connection, because the unread rest of the body would be parsed
  // as the next request.
  if (!exchange.request.complete) {
    exchange.response.setHeader('connection', 'close');
  }
  const error = {message: refusal.message, type: reason, outcome, requestId};
  exchange.sendJson(refusal.status, {error}, headers);
}

/** Builds the headers of the answer to bytes that are not a valid request. */
export function buildMalformedHeaders(): OutgoingHeaders {
  return {
    ...buildOutcomeHeaders(Outcome.NOT_RUN, makeRandomId()),
    [HeaderName.REASON]: OutcomeReason.BAD_REQUEST,
  };
}

function buildRetryAfter(retryAfterMs: number | undefined): OutgoingHeaders {
  if (retryAfterMs === undefined) return {};
  const seconds = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND));
  return {[HeaderName.RETRY_AFTER]: String(seconds)};
}
