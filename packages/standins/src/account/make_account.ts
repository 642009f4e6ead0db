import {Outcome} from '@greengagecross/common';
import type {RunRecord} from '../backends/run_record.js';
import {WorkKind, type CallerVerdict} from '../callers/caller_verdict.js';
import type {Account} from './account.js';
import {computeTotalBytes, type ControlBytes} from './control_traffic.js';

/** What was gathered during a run, on both sides. */
export interface Evidence {
  readonly verdicts: readonly CallerVerdict[];
  /** Records of the engines, in the order in which they ran. */
  readonly engineRecords: readonly (readonly RunRecord[])[];
  readonly workerRecords: readonly (readonly RunRecord[])[];
  readonly skew: number;
  readonly controlBytes: ControlBytes;
}

/** Compares what callers were told with what backend servers ran. */
export function makeAccount(evidence: Evidence): Account {
  const {verdicts} = evidence;
  const engineRuns = evidence.engineRecords.flat();
  const workerRuns = evidence.workerRecords.flat();
  const count = (isCounted: (verdict: CallerVerdict) => boolean): number =>
    verdicts.filter(isCounted).length;
  const isComplete = (v: CallerVerdict): boolean => v.told === Outcome.COMPLETE;
  const seenRuns = engineRuns.filter(run => run.promptTokens > 0);
  const returning = seenRuns.filter(run => isReturn(run));
  return {
    requests: verdicts.length,
    complete: count(v => isComplete(v) && v.isOwnWhole),
    failed: count(v => v.told === Outcome.FAILED || v.told === undefined),
    unknown: count(v => v.told === Outcome.UNKNOWN),
    told_not_run: count(v => v.told === Outcome.NOT_RUN),
    incomplete: count(v => isComplete(v) && !v.isOwnWhole),
    executed_though_told_not_run: countRunThoughNot(verdicts, [
      ...workerRuns,
      ...engineRuns,
    ]),
    executed_twice: countTwice(verdicts, workerRuns),
    returns: returning.length,
    warm_returns: returning.filter(run => run.cachedTokens > 0).length,
    skew_max_over_mean: evidence.skew,
    control_bytes_per_second_per_daemon: computeTotalBytes(
      evidence.controlBytes,
    ),
    control_bytes_by_kind: evidence.controlBytes,
  };
}

/** A caller's work id ends in `#N`, the chat's N-th request. */
function isReturn(run: RunRecord): boolean {
  const turn = Number(run.workId.split('#')[1] ?? 0);
  return turn > 0;
}

/**
 * Counts requests told not-run that ran: by their own attempts, whose ids
 * begin with the request's, or because all sends of the work were refused.
 */
function countRunThoughNot(
  verdicts: readonly CallerVerdict[],
  runs: readonly RunRecord[],
): number {
  const ranWork = new Set(runs.map(run => run.workId));
  const ranRequests = new Set(runs.map(run => run.attemptId.split('.')[0]));
  const otherwise = new Set(
    verdicts.filter(v => v.told !== Outcome.NOT_RUN).map(v => v.workId),
  );
  return verdicts.filter(verdict => {
    if (verdict.told !== Outcome.NOT_RUN) return false;
    const {requestId, workId} = verdict;
    if (requestId !== '' && ranRequests.has(requestId)) return true;
    // Work that was resent may have run in the attempt that was not refused.
    return workId !== '' && ranWork.has(workId) && !otherwise.has(workId);
  }).length;
}

function countTwice(
  verdicts: readonly CallerVerdict[],
  workerRuns: readonly RunRecord[],
): number {
  const once = new Set(
    verdicts.filter(v => v.kind === WorkKind.RESERVATION).map(v => v.workId),
  );
  const runs = new Map<string, number>();
  for (const {workId} of workerRuns) {
    if (once.has(workId)) runs.set(workId, (runs.get(workId) ?? 0) + 1);
  }
  return [...runs.values()].filter(times => times > 1).length;
}
