import type {OutgoingHeaders} from '@greengagecross/http';

/** Source of an answer, or the reason why the request failed. */
export enum CallOutcome {
  /** A complete answer from a backend server. */
  ANSWERED = 'answered',
  /** A stream that was relayed to its end. */
  STREAMED = 'streamed',
  /** A stream that ended before its last event. */
  TRUNCATED = 'broken-off',
  /** This daemon has not loaded a configuration yet. */
  NO_CONFIGURATION = 'no-configuration',
  NO_ROUTE = 'no-route',
  /** The API key belongs to no customer. */
  UNKNOWN_KEY = 'unknown-key',
  TOO_LARGE = 'too-large',
  /** No server was ready, or the deadline expired before any attempt. */
  NO_SERVER = 'no-server',
  /** Every server tried refused the request or was unreachable. */
  NOT_RUN = 'not-run',
  /** Several servers crashed while they executed the request. */
  CONDEMNED = 'condemned',
  /** The request may have been executed, but no answer was received. */
  UNKNOWN = 'unknown',
  /** The deadline expired after the request was sent. */
  TIMED_OUT = 'timed-out',
  /** This daemon read the request too late to meet its deadline. */
  OVERLOADED = 'overloaded',
  /** This daemon is stopping and accepts no more requests. */
  STOPPING = 'stopping',
}

/** The final answer to a request. */
export interface CallAnswer {
  readonly outcome: CallOutcome;
  readonly status: number;
  readonly headers: OutgoingHeaders;
  readonly body: Buffer | string;
}
