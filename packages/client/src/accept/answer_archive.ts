import {Effect} from 'effect';
import {
  ConfigurationError,
  type ConfigurationRevision,
  type ConfigurationStore,
  type HistoryEntry,
  type ReadError,
} from '@greengagecross/platform';
import {
  readAnswers,
  type AnswerConflict,
  type Answers,
  type StoredAnswers,
} from '@greengagecross/questionnaire';
import type {ReportedConflict} from './accept_report.js';

/** Reads the answers of accepted revisions; keeps the last ones read. */
export class AnswerArchive {
  private lastRead: StoredAnswers | undefined;

  constructor(private readonly store: ConfigurationStore) {}

  /** Reads the answers of a record, reusing parts of the last answers read. */
  readRecord(record: ConfigurationRevision): Effect.Effect<Answers, ReadError> {
    return Effect.gen({self: this}, function* () {
      const previous = this.lastRead;
      const source = yield* this.store.makeAnswersSource(
        record,
        previous !== undefined,
      );
      const stored = yield* readAnswers(record.answersDigest, source, previous);
      this.lastRead = stored;
      return stored.answers;
    });
  }

  /**
   * Reads the answers of a revision; undefined for 0, which stands for no
   * revision. Fails with a ConfigurationError if there is no such revision.
   */
  read(revision: number): Effect.Effect<Answers | undefined, ReadError> {
    if (revision === 0) return Effect.undefined;
    return Effect.flatMap(this.store.readRevision(revision), entry =>
      entry === undefined
        ? Effect.fail(
            new ConfigurationError(`there is no revision ${revision}`),
          )
        : this.readRecord(entry.record),
    );
  }

  /** Adds the revision after the base that changed the conflicting answer. */
  addRevisions(
    conflicts: readonly AnswerConflict[],
    baseRevision: number,
  ): Effect.Effect<readonly ReportedConflict[], ReadError> {
    return Effect.map(this.store.listSince(baseRevision), history =>
      conflicts.map(conflict => toReportedConflict(conflict, history)),
    );
  }
}

function toReportedConflict(
  conflict: AnswerConflict,
  history: readonly HistoryEntry[],
): ReportedConflict {
  // The history is sorted newest first. An entry may list only some of the ids
  // that it changed. If no entry lists the answer, the change is attributed to
  // the newest entry whose list is incomplete.
  const entry =
    history.find(({changes}) => changes.includes(conflict.id)) ??
    history.find(({changes, changeCount}) => changeCount > changes.length);
  return {
    ...conflict,
    theirRevision: entry?.record.revision ?? 0,
    changedBy: entry?.record.acceptedBy ?? 'somebody',
    changedAtMs: entry?.record.acceptedAtMs ?? 0,
    theirReason: entry?.record.reason ?? '',
  };
}
