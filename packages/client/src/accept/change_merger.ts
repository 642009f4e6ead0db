import {Effect} from 'effect';
import {ValidationError} from '@greengagecross/common';
import {
  ConfigurationError,
  type ConfigurationRevision,
  type ConfigurationStore,
  type ReadError,
} from '@greengagecross/platform';
import {
  listChanges,
  mergeAnswers,
  keepUnchangedSubjects,
  type AnswerChange,
  type Answers,
} from '@greengagecross/questionnaire';
import type {ReportedConflict} from './accept_report.js';
import {AnswerArchive} from './answer_archive.js';

/** A change merged with the answers in force. */
export interface MergedChange {
  /** Revision in force; undefined before the first revision. */
  readonly current: ConfigurationRevision | undefined;
  /** Answers in force; undefined before the first revision. */
  readonly currentAnswers: Answers | undefined;
  /** Answers to accept; undefined when there are conflicts. */
  readonly answers: Answers | undefined;
  /** Differences from the answers in force; empty when there are conflicts. */
  readonly changes: readonly AnswerChange[];
  /**
   * Whether revisions accepted since the base revision were merged; false when
   * there are conflicts.
   */
  readonly isMerged: boolean;
  readonly conflicts: readonly ReportedConflict[];
}

/** Merges changed answers with the answers in force. */
export class ChangeMerger {
  readonly archive: AnswerArchive;

  constructor(private readonly store: ConfigurationStore) {
    this.archive = new AnswerArchive(store);
  }

  /**
   * Merges the revisions accepted since the base revision into changed answers.
   *
   * Fails with a ConfigurationError when the base revision is no longer kept,
   * and with a ValidationError when the merged answers are invalid.
   */
  merge(
    answers: Answers,
    baseRevision: number,
    current: ConfigurationRevision | undefined,
  ): Effect.Effect<MergedChange, ReadError | ValidationError> {
    return Effect.gen({self: this}, function* () {
      if (!this.store.isRetained(baseRevision, current?.revision ?? 0)) {
        yield* Effect.fail(
          new ConfigurationError(
            `revision ${baseRevision} is no longer kept; start from the answers in force`,
          ),
        );
      }
      const currentAnswers =
        current === undefined
          ? undefined
          : yield* this.archive.readRecord(current);
      if ((current?.revision ?? 0) === baseRevision) {
        const answersWithReusedObjects = keepUnchangedSubjects(
          currentAnswers,
          answers,
        );
        return makeChange(
          current,
          currentAnswers,
          answersWithReusedObjects,
          false,
        );
      }
      const base = yield* this.archive.read(baseRevision);
      const theirs = currentAnswers ?? answers;
      const result = mergeAnswers(base, answers, theirs);
      if (result.problems.length > 0) {
        yield* Effect.fail(
          new ValidationError('the merged answers', result.problems),
        );
      }
      if (result.merged !== undefined) {
        return makeChange(current, currentAnswers, result.merged, true);
      }
      const conflicts = yield* this.archive.addRevisions(
        result.conflicts,
        baseRevision,
      );
      return {
        current,
        currentAnswers,
        answers: undefined,
        changes: [],
        isMerged: false,
        conflicts,
      };
    });
  }
}

function makeChange(
  current: ConfigurationRevision | undefined,
  currentAnswers: Answers | undefined,
  answers: Answers,
  isMerged: boolean,
): MergedChange {
  return {
    current,
    currentAnswers,
    answers,
    changes: listChanges(currentAnswers, answers),
    isMerged,
    conflicts: [],
  };
}
