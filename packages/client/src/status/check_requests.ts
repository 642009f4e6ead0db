import {
  Outcome,
  OutcomeReason,
  type RecentOutcome,
} from '@greengagecross/common';
import type {FleetView} from './fleet_view.js';
import {formatNames, makeSinceField} from './format_names.js';
import {PromiseState, type PromiseReport} from './promise_state.js';

const MAX_REASONS = 3;
/** Advice by reason, for refusals whose cause lies in the fleet. */
const ADVICE: Readonly<Partial<Record<string, string>>> = {
  [OutcomeReason.OVERLOADED]:
    'Engines are full: docs/operations/customer_surge.md, docs/operations/adding_an_engine.md',
  [OutcomeReason.NO_BACKEND]:
    'Too few backend servers answer: docs/operations/leaving_backend.md',
  [OutcomeReason.NO_CONFIGURATION]:
    'Accept the answers: docs/operations/first_start.md',
  [OutcomeReason.PLATFORM_DOWN]:
    'Call the operators of the platform: docs/operations/platform_outage.md',
  [OutcomeReason.DEADLINE]:
    'Requests wait too long: docs/operations/customer_surge.md',
};

/** Checks that no recent request ended as FAILED or UNKNOWN. */
export function checkResponses(view: FleetView): PromiseReport {
  const name = 'whole answers';
  if (hasNoReports(view)) return makeUnknownReport(name);
  const recent = listRecent(view);
  const incomplete = recent.filter(
    ({outcome}) => outcome === Outcome.FAILED || outcome === Outcome.UNKNOWN,
  );
  const complete = recent.filter(({outcome}) => outcome === Outcome.COMPLETE);
  if (incomplete.length === 0) {
    const completeCount = countRequests(complete);
    const detail =
      completeCount === 0
        ? 'no requests recently'
        : `${completeCount} recently, all complete`;
    return {name, state: PromiseState.HOLDS, detail};
  }
  return {
    name,
    state: PromiseState.DEGRADED,
    detail: `${countRequests(incomplete)} without a complete answer, reported as such: ${formatReasons(incomplete)}`,
    ...makeSinceField(incomplete.map(({sinceMs}) => sinceMs)),
    advice:
      'Find the failing backend server: greengagecross dump --daemon ID, and docs/operations/leaving_backend.md',
  };
}

/**
 * Checks that no request was refused for a reason that lies in the fleet and not
 * in the request. The response to a refused request states that the request did
 * not run.
 */
export function checkRefusals(view: FleetView): PromiseReport {
  const name = 'not run';
  if (hasNoReports(view)) return makeUnknownReport(name);
  const refused = listRecent(view).filter(
    ({outcome}) => outcome === Outcome.NOT_RUN,
  );
  const fleetRefusals = refused.filter(
    ({reason}) => ADVICE[reason] !== undefined,
  );
  if (refused.length === 0) {
    return {name, state: PromiseState.HOLDS, detail: 'none refused recently'};
  }
  const detail = `${countRequests(refused)} refused before they ran: ${formatReasons(refused)}`;
  const [first] = countByReason(fleetRefusals);
  if (first === undefined) return {name, state: PromiseState.HOLDS, detail};
  return {
    name,
    state: PromiseState.DEGRADED,
    detail,
    ...makeSinceField(fleetRefusals.map(({sinceMs}) => sinceMs)),
    advice: ADVICE[first.reason] ?? '',
  };
}

/**
 * Checks that non-repeatable requests can be claimed and their outcomes stored.
 *
 * A claim is a row in the table service, written before such a request runs.
 */
export function checkClaims(view: FleetView): PromiseReport {
  const name = 'at most once';
  const reports = view.readings.flatMap(({report}) => report ?? []);
  const withPendingClaims = reports.filter(
    report => (report.pendingClaims ?? 0) > 0,
  );
  const advice =
    'Call the operators of the platform: docs/operations/platform_outage.md';
  if (view.storeRevision === undefined) {
    const since = reports.map(r => r.configuration.notCurrentSinceMs);
    return {
      name,
      state: PromiseState.DEGRADED,
      detail:
        'the table service is down; requests that may not be repeated are refused',
      ...makeSinceField(since),
      advice,
    };
  }
  if (withPendingClaims.length > 0) {
    const count = withPendingClaims.reduce(
      (sum, r) => sum + (r.pendingClaims ?? 0),
      0,
    );
    const ids = formatNames(withPendingClaims.map(report => report.self.id));
    return {
      name,
      state: PromiseState.DEGRADED,
      detail: `${count} claim(s) wait for their outcome to be written on ${ids}; until then callers get the outcome unknown`,
      ...makeSinceField(
        withPendingClaims.map(report => report.pendingClaimsSinceMs),
      ),
      advice: `Do not stop ${ids} before these outcomes are written: docs/operations/platform_outage.md`,
    };
  }
  return {
    name,
    state: PromiseState.HOLDS,
    detail: 'the table service answers, no claim outcome waits to be written',
  };
}

function hasNoReports(view: FleetView): boolean {
  return view.readings.every(({report}) => report === undefined);
}

function makeUnknownReport(name: string): PromiseReport {
  const detail = 'no daemon replies with request outcomes';
  return {name, state: PromiseState.UNKNOWN, detail};
}

function listRecent(view: FleetView): RecentOutcome[] {
  return view.readings.flatMap(({report}) => report?.recentOutcomes ?? []);
}

function countRequests(outcomes: readonly RecentOutcome[]): number {
  return outcomes.reduce((sum, {count}) => sum + count, 0);
}

/** Sums the counts of all daemons by reason, the most frequent first. */
function countByReason(outcomes: readonly RecentOutcome[]): {
  readonly reason: string;
  readonly count: number;
}[] {
  const counts = new Map<string, number>();
  for (const {reason, count} of outcomes) {
    counts.set(reason, (counts.get(reason) ?? 0) + count);
  }
  return [...counts]
    .map(([reason, count]) => ({reason, count}))
    .sort((a, b) => b.count - a.count);
}

function formatReasons(outcomes: readonly RecentOutcome[]): string {
  const sorted = countByReason(outcomes);
  const shown = sorted
    .slice(0, MAX_REASONS)
    .map(({reason, count}) => `${count} ${reason}`);
  const more = sorted.length - shown.length;
  return shown.join(', ') + (more > 0 ? ` and ${more} more reason(s)` : '');
}
