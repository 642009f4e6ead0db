import {Outcome} from '@greengagecross/common';
import type {RunRecord} from '../backends/run_record.js';
import {WorkKind, type CallerVerdict} from '../callers/caller_verdict.js';
import type {Account} from './account.js';
import {computeTotalBytes, type ControlBytes} from './control_traffic.js';

/** Results of the callers and run records of the backend servers. */
export interface RunObservations {
  readonly verdicts: readonly CallerVerdict[];
  /** Records of the engines, in the order in which they ran. */
  readonly engineRecords: readonly (readonly RunRecord[])[];
  readonly workerRecords: readonly (readonly RunRecord[])[];
  /** Busiest engine's load over the mean; 0 without a sample. */
  readonly skew: number;
  /** Bytes a second for each daemon, by kind. */
  readonly controlBytes: ControlBytes;
}

/** Compares the outcomes reported to callers with the recorded runs. */
export function makeAccount(observations: RunObservations): Account {
  const {verdicts} = observations;
  const engineRuns = observations.engineRecords.flat();
  const workerRuns = observations.workerRecords.flat();
  const count = (isCounted: (verdict: CallerVerdict) => boolean): number =>
    verdicts.filter(isCounted).length;
  const isComplete = (v: CallerVerdict): boolean =>
    v.outcome === Outcome.COMPLETE;
  const promptRuns = engineRuns.filter(run => run.promptTokens > 0);
  const returning = promptRuns.filter(run => isReturn(run));
  return {
    requests: verdicts.length,
    complete: count(v => isComplete(v) && v.isCompleteAndOwn),
    failed: count(v => v.outcome === Outcome.FAILED || v.outcome === undefined),
    unknown: count(v => v.outcome === Outcome.UNKNOWN),
    told_not_run: count(v => v.outcome === Outcome.NOT_RUN),
    incomplete: count(v => isComplete(v) && !v.isCompleteAndOwn),
    executed_though_told_not_run: countRunThoughNotRun(verdicts, [
      ...workerRuns,
      ...engineRuns,
    ]),
    executed_twice: countRunTwice(verdicts, workerRuns),
    returns: returning.length,
    warm_returns: returning.filter(run => run.cachedTokens > 0).length,
    skew_max_over_mean: observations.skew,
    control_bytes_per_second_per_daemon: computeTotalBytes(
      observations.controlBytes,
    ),
    control_bytes_by_kind: observations.controlBytes,
  };
}

/** A chat's work ids end in `#N`, where N counts its requests from 0. */
function isReturn(run: RunRecord): boolean {
  const turn = Number(run.workId.split('#')[1] ?? 0);
  return turn > 0;
}

/**
 * Counts requests that were reported not-run but ran. A run belongs to such a
 * request if its attempt id begins with the request's id, or if all sends of
 * the work it ran were reported not-run.
 */
function countRunThoughNotRun(
  verdicts: readonly CallerVerdict[],
  runs: readonly RunRecord[],
): number {
  const ranWorkIds = new Set(runs.map(run => run.workId));
  const ranRequestIds = new Set(runs.map(run => run.attemptId.split('.')[0]));
  const otherWorkIds = new Set(
    verdicts.filter(v => v.outcome !== Outcome.NOT_RUN).map(v => v.workId),
  );
  return verdicts.filter(verdict => {
    if (verdict.outcome !== Outcome.NOT_RUN) return false;
    const {requestId, workId} = verdict;
    if (requestId !== '' && ranRequestIds.has(requestId)) return true;
    // Resent work may have run in a send that was not reported not-run.
    return workId !== '' && ranWorkIds.has(workId) && !otherWorkIds.has(workId);
  }).length;
}

/** Counts the reservations that ran more than once. */
function countRunTwice(
  verdicts: readonly CallerVerdict[],
  workerRuns: readonly RunRecord[],
): number {
  const workIds = new Set(
    verdicts.filter(v => v.kind === WorkKind.RESERVATION).map(v => v.workId),
  );
  const counts = new Map<string, number>();
  for (const {workId} of workerRuns) {
    if (workIds.has(workId)) counts.set(workId, (counts.get(workId) ?? 0) + 1);
  }
  return [...counts.values()].filter(times => times > 1).length;
}
