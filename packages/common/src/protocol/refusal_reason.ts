/**
 * Why a request was refused or has no complete answer, as reported in the
 * reason header and in the outcome event. BACKEND_FAILED, BACKEND_SILENT and
 * DEADLINE may concern requests that ran.
 */
export enum OutcomeReason {
  BAD_REQUEST = 'bad-request',
  UNAUTHORIZED = 'unauthorized',
  FORBIDDEN = 'forbidden',
  UNKNOWN_MODEL = 'unknown-model',
  UNKNOWN_SERVICE = 'unknown-service',
  TOO_LARGE = 'too-large',
  CUSTOMER_LIMIT = 'customer-limit',
  OVERLOADED = 'overloaded',
  NO_BACKEND = 'no-backend',
  NO_CONFIGURATION = 'no-configuration',
  STOPPING = 'stopping',
  DEADLINE = 'deadline',
  KEY_REQUIRED = 'idempotency-key-required',
  KEY_IN_USE = 'idempotency-key-in-use',
  KEY_REUSED = 'idempotency-key-reused',
  KEY_MALFORMED = 'idempotency-key-malformed',
  KEY_EXPIRED = 'idempotency-key-expired',
  /** The request ran, but its answer is no longer stored. */
  ANSWER_NOT_KEPT = 'answer-not-kept',
  /** Backend servers crashed while they ran the request; a final refusal. */
  SUSPECTED = 'request-suspected',
  /** The claim of the request could not be recorded in the table service. */
  PLATFORM_DOWN = 'platform-down',
  BACKEND_FAILED = 'backend-failed',
  BACKEND_SILENT = 'backend-silent',
}
