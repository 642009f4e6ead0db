import type {Outcome} from '@greengagecross/common';

/** Kinds of work that a caller sends. */
export enum WorkKind {
  CHAT = 'chat',
  LOOKUP = 'lookup',
  RESERVATION = 'reservation',
}

/** Result of one request: the outcome reported to the caller, and timings. */
export interface CallerVerdict {
  readonly kind: WorkKind;
  /** Reported outcome; undefined when the connection ended without one. */
  readonly outcome: Outcome | undefined;
  /** Whether the answer was complete and belonged to this request. */
  readonly isCompleteAndOwn: boolean;
  /** Reported reason of a refusal or failure; empty if there is none. */
  readonly reason: string;
  /** Empty when the reply had none. */
  readonly requestId: string;
  /** Caller's id of the work; the same on each resend. */
  readonly workId: string;
  readonly ticket: string | undefined;
  /** Time from connecting to the first token or body; 0 without one. */
  readonly firstTokenMs: number;
  /** Time from the start of the directory lookup to the end of the reply. */
  readonly totalMs: number;
}
