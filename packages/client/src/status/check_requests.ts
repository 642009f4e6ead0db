import {
  Outcome,
  RefusalReason,
  type RecentOutcome,
} from '@greengagecross/common';
import type {FleetView} from './fleet_view.js';
import {formatNames, toSince} from './format_names.js';
import {PromiseState, type PromiseReport} from './promise_state.js';

const MAX_REASONS = 3;
/** Refusals that show that the fleet, not the request, is at fault. */
const ADVICE: Readonly<Partial<Record<string, string>>> = {
  [RefusalReason.OVERLOADED]:
    'Engines are full: docs/operations/customer_surge.md, adding_an_engine.md',
  [RefusalReason.NO_BACKEND]:
    'Too few backend servers answer: docs/operations/leaving_backend.md',
  [RefusalReason.NO_CONFIGURATION]:
    'Accept the answers: docs/operations/first_start.md',
  [RefusalReason.PLATFORM_DOWN]:
    'Call who runs the platform: docs/operations/platform_outage.md',
  [RefusalReason.DEADLINE]:
    'Requests wait too long: docs/operations/customer_surge.md',
};

/** Checks that whole answers were told, or that callers know they were not. */
export function checkAnswers(view: FleetView): PromiseReport {
  const name = 'whole answers';
  if (hasNoReport(view)) return makeUnknown(name);
  const recent = listRecent(view);
  const broken = recent.filter(
    ({outcome}) => outcome === Outcome.FAILED || outcome === Outcome.UNKNOWN,
  );
  const whole = recent.filter(({outcome}) => outcome === Outcome.COMPLETE);
  if (broken.length === 0) {
    const answered = countRequests(whole);
    const detail =
      answered === 0 ? 'none asked lately' : `${answered} lately, none cut`;
    return {name, state: PromiseState.HOLDS, detail};
  }
  return {
    name,
    state: PromiseState.DEGRADED,
    detail: `${countRequests(broken)} without a whole answer, and told so: ${formatReasons(broken)}`,
    ...toSince(broken.map(({sinceMs}) => sinceMs)),
    advice:
      'Find the failing backend server: greengagecross dump --daemon ID, and docs/operations/leaving_backend.md',
  };
}

/** Checks that requests are run; each refused one was told that it was not. */
export function checkRefusals(view: FleetView): PromiseReport {
  const name = 'not run';
  if (hasNoReport(view)) return makeUnknown(name);
  const refused = listRecent(view).filter(
    ({outcome}) => outcome === Outcome.NOT_RUN,
  );
  const faults = refused.filter(({reason}) => ADVICE[reason] !== undefined);
  if (refused.length === 0) {
    return {name, state: PromiseState.HOLDS, detail: 'none refused lately'};
  }
  const detail = `${countRequests(refused)} refused before they ran: ${formatReasons(refused)}`;
  const [worst] = sortByCount(faults);
  if (worst === undefined) return {name, state: PromiseState.HOLDS, detail};
  return {
    name,
    state: PromiseState.DEGRADED,
    detail,
    ...toSince(faults.map(({sinceMs}) => sinceMs)),
    advice: ADVICE[worst.reason] ?? '',
  };
}

/** Checks that what may not be repeated can be claimed and recorded. */
export function checkClaims(view: FleetView): PromiseReport {
  const name = 'at most once';
  const reports = view.readings.flatMap(({report}) => report ?? []);
  const waiting = reports.filter(report => (report.pendingClaims ?? 0) > 0);
  const advice =
    'Call who runs the platform: docs/operations/platform_outage.md';
  if (view.storeRevision === undefined) {
    const since = reports.map(r => r.configuration.notCurrentSinceMs);
    return {
      name,
      state: PromiseState.DEGRADED,
      detail: 'the table service is down; what may not be repeated is refused',
      ...toSince(since),
      advice,
    };
  }
  if (waiting.length > 0) {
    const count = waiting.reduce((sum, r) => sum + (r.pendingClaims ?? 0), 0);
    const ids = formatNames(waiting.map(report => report.self.id));
    return {
      name,
      state: PromiseState.DEGRADED,
      detail: `${count} end(s) of claims wait to be written on ${ids}; their callers are told that it is unknown`,
      ...toSince(waiting.map(report => report.pendingClaimsSinceMs)),
      advice: `Do not stop ${ids} before they are written: docs/operations/platform_outage.md`,
    };
  }
  return {
    name,
    state: PromiseState.HOLDS,
    detail: 'the table service answers, no claim waits to be written',
  };
}

function hasNoReport(view: FleetView): boolean {
  return view.readings.every(({report}) => report === undefined);
}

function makeUnknown(name: string): PromiseReport {
  const detail = 'no daemon tells what its callers were told';
  return {name, state: PromiseState.UNKNOWN, detail};
}

function listRecent(view: FleetView): RecentOutcome[] {
  return view.readings.flatMap(({report}) => report?.recentOutcomes ?? []);
}

function countRequests(outcomes: readonly RecentOutcome[]): number {
  return outcomes.reduce((sum, {count}) => sum + count, 0);
}

/** Adds up the counts of all daemons by reason, the most frequent first. */
function sortByCount(outcomes: readonly RecentOutcome[]): {
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
  const sorted = sortByCount(outcomes);
  const shown = sorted
    .slice(0, MAX_REASONS)
    .map(({reason, count}) => `${count} ${reason}`);
  const more = sorted.length - shown.length;
  return shown.join(', ') + (more > 0 ? ` and ${more} more reason(s)` : '');
}
