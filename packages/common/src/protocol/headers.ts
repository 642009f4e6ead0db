/** Names of the HTTP headers between callers and daemons. */
export enum HeaderName {
  CUSTOMER = 'greengagecross-customer',
  CHAT = 'greengagecross-chat',
  TICKET = 'greengagecross-ticket',
  /** Address to connect to for the chat's next turn. */
  ADDRESS = 'greengagecross-address',
  OUTCOME = 'greengagecross-outcome',
  REASON = 'greengagecross-reason',
  REQUEST_ID = 'greengagecross-request-id',
  /** Milliseconds that the caller still waits. */
  DEADLINE_MS = 'greengagecross-deadline-ms',
  PRIORITY = 'greengagecross-priority',
  IDEMPOTENCY_KEY = 'idempotency-key',
  RETRY_AFTER = 'retry-after',
}

/** Name of the server-sent event that closes a stream with its outcome. */
export const OUTCOME_EVENT = 'greengagecross.outcome';
