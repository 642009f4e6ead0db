import type {BackendCall, ServiceRequest} from '@greengagecross/backend';
import type {BackendServer, Customer, Service} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';

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
