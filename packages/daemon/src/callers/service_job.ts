import type {BackendCall, ServiceRequest} from '@greengagecross/backend';
import type {BackendServer, Customer, Service} from '@greengagecross/common';
import type {RequestDeadline} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import type {GuardedRequest} from '../suspects/request_guard.js';

/** A plain service's call that was checked and may be dispatched. */
export interface ServiceJob {
  readonly exchange: HttpExchange;
  readonly requestId: string;
  readonly customer: Customer;
  readonly service: Service;
  readonly chat: string;
  readonly request: ServiceRequest;
}

/** Makes the call of one attempt on one worker. */
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

/** Makes what a call is known by when it is sent again. */
export function makeGuardedCall(
  job: ServiceJob,
  deadline: RequestDeadline,
): GuardedRequest {
  const {method, path, body} = job.request;
  const customer = job.customer.id;
  const service = job.service.name;
  const parts = {customer, service, call: `${method} ${path}`, body};
  return {requestId: job.requestId, deadline, parts};
}
