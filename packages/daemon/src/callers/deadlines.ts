import {BackendFailure} from '@greengagecross/backend';
import {HeaderName, OutcomeReason, type Service} from '@greengagecross/common';
import {AttemptCost, RequestDeadline} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import {makeNotRun, type Refusal} from './refusal.js';

/**
 * Makes a request's deadline. The caller's header can only shorten the
 * service's time limit, which applies alone when there is no valid header.
 */
export function makeDeadline(
  exchange: HttpExchange,
  service: Service,
): RequestDeadline {
  const header = exchange.getHeader(HeaderName.DEADLINE_MS);
  return RequestDeadline.make(header, service.deadlineMs, exchange.arrivedAtMs);
}

/** Computes what a failed attempt cost its backend server. */
export function computeAttemptCost(failure: BackendFailure): AttemptCost {
  switch (failure) {
    case BackendFailure.NOT_SENT:
    case BackendFailure.LEAVING:
    // A crash is not charged to the retry budget, because trials limit retries
    // after a crash: a request that was in flight at a crash runs with no other
    // such request on the same server.
    case BackendFailure.CRASHED:
      return AttemptCost.NONE;
    default:
      return AttemptCost.LOAD;
  }
}

/** Refuses a request whose deadline passed before any attempt was sent. */
export function makeDeadlineExceeded(): Refusal {
  return makeNotRun(
    OutcomeReason.DEADLINE,
    504,
    'the deadline passed before the request was sent to a backend server',
  );
}
