import type {AnswerConflict, Answers} from '@greengagecross/questionnaire';

/** How accepting a change ended. */
export enum ChangeOutcome {
  ACCEPTED = 'accepted',
  /** The answers in force already say the same. */
  UNCHANGED = 'unchanged',
  /** Somebody else changed the same answer. */
  CONFLICT = 'conflict',
}

/** One answer changed by both sides, with who changed it first. */
export interface ReportedConflict extends AnswerConflict {
  readonly theirRevision: number;
  readonly changedBy: string;
  readonly changedAtMs: number;
  readonly theirReason: string;
}

/** What became of a change. */
export interface AcceptReport {
  readonly outcome: ChangeOutcome;
  /** Revision that stands now. */
  readonly revision: number;
  readonly operationId: string;
  /** Answers that differ from those in force before, by id. */
  readonly changes: readonly string[];
  /** Whether others' changes since the base were merged in. */
  readonly isMerged: boolean;
  readonly conflicts: readonly ReportedConflict[];
}

/** A change that an operator asks to accept. */
export interface ChangeRequest {
  readonly answers: Answers;
  /** Revision that the answers were made from; 0 for none. */
  readonly baseRevision: number;
  readonly operationId: string;
  readonly operator: string;
  readonly reason: string;
  /** Accepts a revision also without a change, and writes every part again. */
  readonly isRewrite?: boolean;
}
