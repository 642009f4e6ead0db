import type {AnswerConflict, Answers} from '@greengagecross/questionnaire';

/** Outcome of a request to accept a change. */
export enum ChangeOutcome {
  ACCEPTED = 'accepted',
  /** The answers in force already contain the change. */
  UNCHANGED = 'unchanged',
  /** Another operator changed the same answer since the base revision. */
  CONFLICT = 'conflict',
}

/**
 * An answer that both the request and an accepted revision changed.
 *
 * `theirRevision`, `changedBy`, `changedAtMs` (ms since the epoch) and
 * `theirReason` describe the accepted revision. Without a history entry for it
 * they hold 0, `somebody`, 0 and an empty text.
 */
export interface ReportedConflict extends AnswerConflict {
  readonly theirRevision: number;
  readonly changedBy: string;
  readonly changedAtMs: number;
  readonly theirReason: string;
}

/** Result of a {@link ChangeRequest}. */
export interface AcceptReport {
  readonly outcome: ChangeOutcome;
  /** Current revision after the request; 0 for none. */
  readonly revision: number;
  readonly operationId: string;
  /** Ids of the answers that the accepted revision changed. */
  readonly changes: readonly string[];
  /**
   * Whether revisions accepted since the base revision were merged with the
   * change; false if there is a conflict.
   */
  readonly isMerged: boolean;
  readonly conflicts: readonly ReportedConflict[];
}

/** A change of the answers that an operator wants accepted. */
export interface ChangeRequest {
  readonly answers: Answers;
  /** Base revision, which the answers were edited from; 0 for none. */
  readonly baseRevision: number;
  /** Identifies the change, so that a repeated request is accepted once. */
  readonly operationId: string;
  readonly operator: string;
  readonly reason: string;
  /**
   * Writes every stored part of the answers and the configuration again, and a
   * new revision even when no answer differs.
   */
  readonly isRewrite?: boolean;
}
