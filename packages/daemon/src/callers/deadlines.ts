import {BackendFailure} from '@greengagecross/backend';
import {HeaderName, RefusalReason, type Service} from '@greengagecross/common';
import {AttemptCost, RequestDeadline} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import {makeNotRun, type Refusal} from './refusal.js';

/** Makes a request's deadline from its caller's header and its service. */
export function makeDeadline(
  exchange: HttpExchange,
  service: Service,
): RequestDeadline {
  const header = exchange.getHeader(HeaderName.DEADLINE_MS);
  return RequestDeadline.make(header, service.deadlineMs, exchange.arrivedAtMs);
}

/** Computes the cost of a failed attempt to the backend server. */
export function computeAttemptCost(failure: BackendFailure): AttemptCost {
  switch (failure) {
    case BackendFailure.NOT_SENT:
    case BackendFailure.LEAVING:
    // Retries after a crash are limited by trials instead: a request that was
    // in flight at a crash runs with no other such request on the same server.
    case BackendFailure.CRASHED:
      return AttemptCost.NONE;
    default:
      return AttemptCost.LOAD;
  }
}

/** Makes the refusal of a request whose deadline expired before it was sent. */
export function makeDeadlineExceeded(): Refusal {
  return makeNotRun(
    RefusalReason.DEADLINE,
    504,
    'the deadline passed before the request was sent to a backend server',
  );
}
