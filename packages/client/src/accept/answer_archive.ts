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

/** Reads the answers of accepted revisions. */
export class AnswerArchive {
  private newest: StoredAnswers | undefined;

  constructor(private readonly store: ConfigurationStore) {}

  /** Reads the answers of a record, sharing what the last ones have. */
  readOf(record: ConfigurationRevision): Effect.Effect<Answers, ReadError> {
    return Effect.gen({self: this}, function* () {
      const earlier = this.newest;
      const source = yield* this.store.makeAnswersSource(
        record,
        earlier !== undefined,
      );
      const read = yield* readAnswers(record.answersDigest, source, earlier);
      this.newest = read;
      return read.answers;
    });
  }

  /** Reads the answers of a revision; undefined for 0, before the first. */
  read(revision: number): Effect.Effect<Answers | undefined, ReadError> {
    if (revision === 0) return Effect.undefined;
    return Effect.flatMap(this.store.readRevision(revision), entry =>
      entry === undefined
        ? Effect.fail(
            new ConfigurationError(`there is no revision ${revision}`),
          )
        : this.readOf(entry.record),
    );
  }

  /** Finds who changed the answers that are in conflict since a base. */
  reportConflicts(
    conflicts: readonly AnswerConflict[],
    baseRevision: number,
  ): Effect.Effect<readonly ReportedConflict[], ReadError> {
    return Effect.map(this.store.listSince(baseRevision), history =>
      conflicts.map(conflict => toReported(conflict, history)),
    );
  }
}

function toReported(
  conflict: AnswerConflict,
  history: readonly HistoryEntry[],
): ReportedConflict {
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
