import type {Outcome} from '@greengagecross/common';

/** Work that a caller sends. */
export enum WorkKind {
  CHAT = 'chat',
  LOOKUP = 'lookup',
  RESERVATION = 'reservation',
}

/** What one caller was told about one request, and what it saw. */
export interface CallerVerdict {
  readonly kind: WorkKind;
  /** Outcome as told; undefined when the connection said nothing. */
  readonly told: Outcome | undefined;
  /** Whether the answer was whole and the request's own. */
  readonly isOwnWhole: boolean;
  /** Why it was refused or cut short, as told. */
  readonly reason: string;
  readonly requestId: string;
  /** Caller's id of the work; the same on every resend. */
  readonly workId: string;
  readonly ticket: string | undefined;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}
