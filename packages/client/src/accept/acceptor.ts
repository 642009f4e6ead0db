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

const MAX_RACES = 20;
const RETRY_BASE_MS = 100;
const MAX_RETRIES = 5;

/** Accepts changes of answers, merging what others accepted meanwhile. */
export class Acceptor {
  private readonly merger: ChangeMerger;

  constructor(
    private readonly store: ConfigurationStore,
    private readonly retryBaseMs = RETRY_BASE_MS,
  ) {
    this.merger = new ChangeMerger(store);
  }

  /**
   * Accepts a change once, however often it is sent with its operation id.
   *
   * Fails with a PlatformError when it is not known whether it stands.
   */
  accept(
    request: ChangeRequest,
  ): Effect.Effect<AcceptReport, ReadError | ValidationError> {
    return this.tryAccept(request).pipe(
      Effect.retry({
        while: isWorthRetrying,
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
      for (let race = 0; race < MAX_RACES; race += 1) {
        const {operationId} = request;
        // In this order: a write of an earlier try that is not seen after the
        // current row was read can no longer land on a change of that row.
        const current = yield* this.store.readCurrent();
        const earlier = yield* this.store.findByOperation(operationId);
        if (earlier !== undefined) {
          const revision = yield* this.store.readRevision(earlier.revision);
          return makeReport(request, ChangeOutcome.ACCEPTED, {
            revision: earlier.revision,
            changes: revision?.changes ?? [],
          });
        }
        const change = yield* this.merger.merge(
          request.answers,
          request.baseRevision,
          current,
        );
        const report = yield* this.sendOffer(request, change);
        if (report !== undefined) return report;
      }
      return yield* Effect.fail(
        new ConfigurationError('others kept accepting changes in between'),
      );
    });
  }

  /** Offers a merged change; undefined when another was accepted first. */
  private sendOffer(
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
      if (result.outcome !== AcceptOutcome.ACCEPTED) return undefined;
      // The change stands, whether or not this is done.
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
      request.isRewrite === true ? new Set() : listStoredParts(change),
    changes: change.changes.map(({id}) => id),
    operationId: request.operationId,
    acceptedBy: request.operator,
    acceptedAtMs: nowMs,
    reason: request.reason,
  };
}

/** Parts of the answers in force need not be written again. */
function listStoredParts(change: MergedChange): ReadonlySet<string> {
  const {current, currentAnswers} = change;
  if (current === undefined || currentAnswers === undefined) return new Set();
  const configuration = makeConfigurationParts(
    makeConfiguration(currentAnswers),
  );
  const answers = makeAnswerParts(currentAnswers);
  // Another version of the generator may have made what stands.
  const isSame = configuration.digest === current.digest;
  const parts = [...(isSame ? configuration.parts : []), ...answers.parts];
  return new Set(parts.map(part => part.digest));
}

function makeReport(
  request: ChangeRequest,
  outcome: ChangeOutcome,
  found: Partial<AcceptReport>,
): AcceptReport {
  return {
    outcome,
    revision: 0,
    operationId: request.operationId,
    changes: [],
    isMerged: false,
    conflicts: [],
    ...found,
  };
}

function isWorthRetrying(error: Error): boolean {
  return (
    error instanceof PlatformError && error.failure !== PlatformFailure.REFUSED
  );
}
