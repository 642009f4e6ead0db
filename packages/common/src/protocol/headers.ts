/** Names of the HTTP headers between callers and daemons. */
export enum HeaderName {
  CUSTOMER = 'greengagecross-customer',
  CHAT = 'greengagecross-chat',
  TICKET = 'greengagecross-ticket',
  /** Address (`host:port`) for the next turn of the chat. */
  ADDRESS = 'greengagecross-address',
  OUTCOME = 'greengagecross-outcome',
  REASON = 'greengagecross-reason',
  REQUEST_ID = 'greengagecross-request-id',
  /** Remaining time that the caller waits, in milliseconds. */
  DEADLINE_MS = 'greengagecross-deadline-ms',
  PRIORITY = 'greengagecross-priority',
  IDEMPOTENCY_KEY = 'idempotency-key',
  RETRY_AFTER = 'retry-after',
}

/** Name of the server-sent event that ends a stream with its outcome. */
export const OUTCOME_EVENT = 'greengagecross.outcome';
