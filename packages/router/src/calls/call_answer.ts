import type {OutgoingHeaders} from '@greengagecross/http';

/** How a request ended: the origin of its answer, or why it failed. */
export enum CallOutcome {
  /** A complete answer from a backend server. */
  ANSWERED = 'answered',
  /** A stream that was relayed to its end. */
  STREAMED = 'streamed',
  /** A stream that ended before its last event. */
  TRUNCATED = 'broken-off',
  /** This daemon has no configuration or no list of backend servers yet. */
  NO_CONFIGURATION = 'no-configuration',
  /**
   * No route or customer was found, but this daemon's configuration is older
   * than that of a peer, or has not been confirmed for long.
   */
  OUTDATED = 'outdated-configuration',
  /** No route matches the host and path. */
  NO_ROUTE = 'no-route',
  /** The API key belongs to no customer. */
  UNKNOWN_KEY = 'unknown-key',
  /** The request body exceeds the size limit. */
  TOO_LARGE = 'too-large',
  /** The client left before the request body was received to its end. */
  BODY_CUT = 'body-cut',
  /** The client took too long to send the request body. */
  BODY_TIMED_OUT = 'body-timed-out',
  /** The chunks of the request body are malformed. */
  BODY_MALFORMED = 'body-malformed',
  /** No server was ready, or the deadline expired before any attempt. */
  NO_SERVER = 'no-server',
  /** Every server tried refused the request or was unreachable. */
  NOT_RUN = 'not-run',
  /**
   * Servers crashed while they ran the request; see `CrashSuspects` of package
   * decisions.
   */
  CONDEMNED = 'condemned',
  /** Servers crashed while requests with a part of this prompt waited. */
  CONDEMNED_PART = 'condemned-part',
  /** The request may have been run, but no valid reply was received. */
  UNKNOWN = 'unknown',
  /** The deadline expired after the first attempt began. */
  TIMED_OUT = 'timed-out',
  /**
   * More than half of the request's time had passed before it was read, or the
   * bodies that are being read take too much memory.
   */
  OVERLOADED = 'overloaded',
  /** This daemon is stopping and accepts no more requests. */
  STOPPING = 'stopping',
}

/** Refusals of requests that may succeed when they are sent again. */
const TEMPORARY_OUTCOMES: ReadonlySet<CallOutcome> = new Set([
  CallOutcome.NO_CONFIGURATION,
  CallOutcome.OUTDATED,
  CallOutcome.OVERLOADED,
  CallOutcome.STOPPING,
]);
/** Returns whether a refused request may succeed when it is sent again. */
export function isTemporaryOutcome(outcome: CallOutcome): boolean {
  return TEMPORARY_OUTCOMES.has(outcome);
}

/** Returns whether a client got the complete answer of a server. */
export function isCompleteOutcome(outcome: CallOutcome): boolean {
  return outcome === CallOutcome.ANSWERED || outcome === CallOutcome.STREAMED;
}

/** The final answer to a client; made here or from a server's reply. */
export interface CallAnswer {
  readonly outcome: CallOutcome;
  readonly status: number;
  readonly headers: OutgoingHeaders;
  readonly body: Buffer | string;
}
