import type {OutgoingHeaders} from '@greengagecross/http';

/** Where an answer comes from, and why. */
export enum CallOutcome {
  /** A backend server's answer, whole. */
  ANSWERED = 'answered',
  /** A stream, relayed to its end. */
  STREAMED = 'streamed',
  /** A stream that ended before its last event. */
  BROKEN_OFF = 'broken-off',
  NO_CONFIGURATION = 'no-configuration',
  NO_ROUTE = 'no-route',
  UNKNOWN_KEY = 'unknown-key',
  TOO_LARGE = 'too-large',
  NO_SERVER = 'no-server',
  /** Servers refused it, or could not be reached. */
  NOT_RUN = 'not-run',
  /** It crashed the servers that ran it. */
  CONDEMNED = 'condemned',
  /** It may have run; no answer came. */
  UNKNOWN = 'unknown',
  /** Its time was over. */
  TIMED_OUT = 'timed-out',
  /** This daemon read it too late to serve it in its time. */
  OVERLOADED = 'overloaded',
  STOPPING = 'stopping',
}

/** The final answer to a request. */
export interface CallAnswer {
  readonly outcome: CallOutcome;
  readonly status: number;
  readonly headers: OutgoingHeaders;
  readonly body: Buffer | string;
}
