/**
 * Names of the HTTP headers between callers and daemons. A caller is a program
 * that sends requests; package router calls the same role a client.
 */
export enum HeaderName {
  CUSTOMER = 'greengagecross-customer',
  CHAT = 'greengagecross-chat',
  TICKET = 'greengagecross-ticket',
  /** Address (`host:port`) for the next turn of the chat. */
  ADDRESS = 'greengagecross-address',
  OUTCOME = 'greengagecross-outcome',
  REASON = 'greengagecross-reason',
  REQUEST_ID = 'greengagecross-request-id',
  /** Time that the caller allows for the request, in milliseconds. */
  DEADLINE_MS = 'greengagecross-deadline-ms',
  PRIORITY = 'greengagecross-priority',
  IDEMPOTENCY_KEY = 'idempotency-key',
  RETRY_AFTER = 'retry-after',
}

/** Name of the server-sent event that ends a stream with its outcome. */
export const OUTCOME_EVENT = 'greengagecross.outcome';
