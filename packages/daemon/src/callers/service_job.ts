import type {BackendCall, ServiceRequest} from '@greengagecross/backend';
import type {BackendServer, Customer, Service} from '@greengagecross/common';
import type {RequestDeadline} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import type {GuardedRequest} from '../suspects/request_guard.js';

/** A validated call of a plain service, ready to be dispatched. */
export interface ServiceJob {
  readonly exchange: HttpExchange;
  readonly requestId: string;
  readonly customer: Customer;
  readonly service: Service;
  /** Value of the caller's chat header, or a random id. */
  readonly chat: string;
  readonly request: ServiceRequest;
}

/**
 * Makes the call for one attempt on one worker.
 *
 * @param deadlineMs remaining time for the attempt, in milliseconds; the time
 *     limit of the service by default.
 */
export function makeServiceCall(
  job: ServiceJob,
  server: BackendServer,
  attemptId: string,
  deadlineMs: number = job.service.deadlineMs,
): BackendCall {
  return {
    server,
    attemptId,
    customer: job.customer.id,
    chat: job.chat,
    priority: job.service.priority,
    deadlineMs,
  };
}

/**
 * Makes the request for the request guard. Its `fingerprintParts` are the same
 * when a caller sends the same call again.
 */
export function makeGuardedRequest(
  job: ServiceJob,
  deadline: RequestDeadline,
): GuardedRequest {
  const {method, path, body} = job.request;
  const customer = job.customer.id;
  const service = job.service.name;
  const parts = {customer, service, call: `${method} ${path}`, body};
  return {requestId: job.requestId, deadline, fingerprintParts: parts};
}
