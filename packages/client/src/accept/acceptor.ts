import {Clock, Effect, Schedule} from 'effect';
import type {ValidationError} from '@greengagecross/common';
import {
  AcceptOutcome,
  ConfigurationError,
  PlatformError,
  PlatformFailure,
  makeConfigurationParts,
  type ConfigurationOffer,
  type ConfigurationStore,
  type ReadError,
} from '@greengagecross/platform';
import {
  makeConfiguration,
  makeAnswerParts,
  type Answers,
} from '@greengagecross/questionnaire';
import {
  ChangeOutcome,
  type AcceptReport,
  type ChangeRequest,
} from './accept_report.js';
import {ChangeMerger, type MergedChange} from './change_merger.js';

/** Attempts to write a revision; each fails if another is written first. */
const MAX_WRITE_ATTEMPTS = 20;
const RETRY_BASE_MS = 100;
/** Repetitions of all attempts after a call to the platform failed. */
const MAX_RETRIES = 5;

/** Accepts changes of answers and merges what was accepted since the base. */
export class Acceptor {
  private readonly merger: ChangeMerger;

  constructor(
    private readonly store: ConfigurationStore,
    private readonly retryBaseMs = RETRY_BASE_MS,
  ) {
    this.merger = new ChangeMerger(store);
  }

  /**
   * Accepts a change at most once per operation id, however often it is sent.
   *
   * Fails with a PlatformError when it is unknown whether the change was
   * accepted, with a ConfigurationError when the base revision is no longer
   * kept or another revision was written first in every attempt, and with a
   * ValidationError when the merged answers are invalid.
   */
  accept(
    request: ChangeRequest,
  ): Effect.Effect<AcceptReport, ReadError | ValidationError> {
    return this.tryAccept(request).pipe(
      Effect.retry({
        while: isRetryable,
        times: MAX_RETRIES,
        schedule: Schedule.exponential(this.retryBaseMs).pipe(
          Schedule.jittered,
        ),
      }),
    );
  }

  private tryAccept(
    request: ChangeRequest,
  ): Effect.Effect<AcceptReport, ReadError | ValidationError> {
    return Effect.gen({self: this}, function* () {
      for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
        const {operationId} = request;
        // Read the current row first, then look up the operation. The write of
        // an earlier attempt is conditional on the current row. If the lookup
        // does not find that write, it can still be applied only while the row
        // is unchanged, and then the conditional write below fails.
        const current = yield* this.store.readCurrent();
        const acceptedRecord = yield* this.store.findByOperation(operationId);
        if (acceptedRecord !== undefined) {
          const entry = yield* this.store.readRevision(acceptedRecord.revision);
          return makeReport(request, ChangeOutcome.ACCEPTED, {
            revision: acceptedRecord.revision,
            changes: entry?.changes ?? [],
          });
        }
        const change = yield* this.merger.merge(
          request.answers,
          request.baseRevision,
          current,
        );
        const report = yield* this.acceptMergedChange(request, change);
        if (report !== undefined) return report;
      }
      return yield* Effect.fail(
        new ConfigurationError(
          'the change was not accepted: another revision was written first in every attempt',
        ),
      );
    });
  }

  /**
   * Writes a merged change as a revision unless it has conflicts or changes
   * nothing. Returns undefined if another revision was written first.
   */
  private acceptMergedChange(
    request: ChangeRequest,
    change: MergedChange,
  ): Effect.Effect<AcceptReport | undefined, ReadError> {
    const {answers, conflicts, isMerged} = change;
    const revision = change.current?.revision ?? 0;
    if (answers === undefined) {
      const conflict = {revision, conflicts};
      return Effect.succeed(
        makeReport(request, ChangeOutcome.CONFLICT, conflict),
      );
    }
    if (change.changes.length === 0 && request.isRewrite !== true) {
      return Effect.succeed(
        makeReport(request, ChangeOutcome.UNCHANGED, {revision}),
      );
    }
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const offer = makeOffer(request, change, answers, nowMs);
      const result = yield* this.store.accept(offer);
      // AcceptOutcome.CONFLICT: another revision was written first. This is not
      // a ChangeOutcome.CONFLICT, in which both changed the same answer.
      if (result.outcome !== AcceptOutcome.ACCEPTED) return undefined;
      // The change is accepted even if removing old revisions fails.
      yield* Effect.ignore(
        this.store.removeOldRevisions(result.current?.revision ?? 0),
      );
      return makeReport(request, ChangeOutcome.ACCEPTED, {
        revision: result.current?.revision ?? 0,
        changes: offer.changes,
        isMerged,
      });
    });
  }
}

function makeOffer(
  request: ChangeRequest,
  change: MergedChange,
  answers: Answers,
  nowMs: number,
): ConfigurationOffer {
  return {
    baseRevision: change.current?.revision ?? 0,
    configuration: makeConfigurationParts(makeConfiguration(answers)),
    answers: makeAnswerParts(answers),
    storedDigests:
      request.isRewrite === true ? new Set() : listStoredDigests(change),
    changes: change.changes.map(({id}) => id),
    operationId: request.operationId,
    acceptedBy: request.operator,
    acceptedAtMs: nowMs,
    reason: request.reason,
  };
}

/** Lists digests of the parts in force, which need not be written again. */
function listStoredDigests(change: MergedChange): ReadonlySet<string> {
  const {current, currentAnswers} = change;
  if (current === undefined || currentAnswers === undefined) return new Set();
  const configuration = makeConfigurationParts(
    makeConfiguration(currentAnswers),
  );
  const answers = makeAnswerParts(currentAnswers);
  // Another generator version may have made the configuration in force.
  const isSame = configuration.digest === current.digest;
  const parts = [...(isSame ? configuration.parts : []), ...answers.parts];
  return new Set(parts.map(part => part.digest));
}

function makeReport(
  request: ChangeRequest,
  outcome: ChangeOutcome,
  details: Partial<AcceptReport>,
): AcceptReport {
  return {
    outcome,
    revision: 0,
    operationId: request.operationId,
    changes: [],
    isMerged: false,
    conflicts: [],
    ...details,
  };
}

function isRetryable(error: Error): boolean {
  return (
    error instanceof PlatformError && error.failure !== PlatformFailure.REFUSED
  );
}
