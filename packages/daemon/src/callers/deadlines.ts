import {BackendFailure} from '@greengagecross/backend';
import {HeaderName, RefusalReason, type Service} from '@greengagecross/common';
import {AttemptCost, RequestDeadline} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import {makeNotRun, type Refusal} from './refusal.js';

/** Makes the deadline that a request's caller and its service set. */
export function makeDeadline(
  exchange: HttpExchange,
  service: Service,
): RequestDeadline {
  const told = exchange.getHeader(HeaderName.DEADLINE_MS);
  return RequestDeadline.make(told, service.deadlineMs, exchange.arrivedAtMs);
}

/** Computes what a failed attempt cost the backend server. */
export function computeAttemptCost(failure: BackendFailure): AttemptCost {
  switch (failure) {
    case BackendFailure.NOT_SENT:
    case BackendFailure.LEAVING:
    // What runs again after a crash is paced by its trial.
    case BackendFailure.CRASHED:
      return AttemptCost.NONE;
    default:
      return AttemptCost.LOAD;
  }
}

/** Makes the refusal of a request whose deadline passed before it was sent. */
export function makeDeadlinePassed(): Refusal {
  return makeNotRun(
    RefusalReason.DEADLINE,
    504,
    'the deadline passed before the request was sent to a backend server',
  );
}
