import {parseArgs} from 'node:util';
import {Effect} from 'effect';
import {SeededRandom} from '@greengagecross/common';
import {WorkKind} from '../../callers/caller_verdict.js';
import {FleetCaller} from '../../callers/fleet_caller.js';
import {Fleet} from '../../fleet/fleet.js';
import {planFleet, type FleetPlan} from '../../fleet/fleet_plan.js';
import {closeCalls} from '../../fleet/http_json.js';
import {PhaseCounts} from './phase_counts.js';
import {SteadyCustomer} from './steady_customer.js';

const SIZE = {
  daemons: 5,
  engines: 6,
  workers: 2,
  customers: 6,
  profile: {capacity: 4, msPerToken: 20},
};
const WARM_UP_MS = 5000;
const SURGE_FACTOR = 10;
/** Rate of each customer; the engines answer about 45 such chats a second. */
const CHATS_PER_SECOND = 4;
const LOOKUPS_PER_SECOND = 20;

/** The customer whose rate surges, those that send chats, one with lookups. */
interface Senders {
  readonly surging: SteadyCustomer;
  readonly others: readonly SteadyCustomer[];
  readonly lookups: SteadyCustomer;
}

/**
 * Runs `npm run bench -- surge --seed N --seconds S` on real processes: the
 * rate of one customer rises to 10 times its usual rate. Prints one JSON object
 * that compares the other customers before and during the surge. The exit code
 * is 0 on every completed run.
 */
export async function run(args: readonly string[]): Promise<number> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      seed: {type: 'string', default: '1'},
      seconds: {type: 'string', default: '20'},
    },
  });
  const fleet = new Fleet(await planFleet(SIZE));
  try {
    await fleet.start();
    const callers = makeCallers(fleet.plan);
    const senders = makeSenders(callers, Number(values.seed));
    const durationMs = Number(values.seconds) * 1000;
    await runPhase(senders, 1, WARM_UP_MS);
    const idle = await runLookups(senders.lookups, durationMs / 2);
    await runPhase(senders, 1, durationMs);
    const before = readPhase(senders);
    await runPhase(senders, SURGE_FACTOR, durationMs);
    const during = readPhase(senders);
    for (const caller of callers) caller.close();
    const goodput =
      during.others.computeCompleteShare() /
      before.others.computeCompleteShare();
    const line = {
      seed: Number(values.seed),
      others_goodput_kept: goodput,
      lookup_p99_over_idle:
        during.lookups.getPercentileMs(99) / idle.getPercentileMs(99),
      lookups_alone: idle.describe(),
      before: describePhase(before),
      during: describePhase(during),
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
    return 0;
  } finally {
    await fleet.stop();
    closeCalls();
    fleet.removeFolder();
  }
}

interface Phase {
  readonly surging: PhaseCounts;
  readonly others: PhaseCounts;
  readonly lookups: PhaseCounts;
}

function makeCallers(plan: FleetPlan): FleetCaller[] {
  const entries = plan.daemons.map(daemon => daemon.caller);
  return plan.customers.map((customer, index) => {
    const rotated = [...entries.slice(index), ...entries.slice(0, index)];
    return new FleetCaller(customer, rotated);
  });
}

function makeSenders(callers: readonly FleetCaller[], seed: number): Senders {
  const senders = callers.map(
    (caller, index) =>
      new SteadyCustomer(
        `customer-${index}`,
        index === 1 ? WorkKind.LOOKUP : WorkKind.CHAT,
        caller,
        new SeededRandom(seed * callers.length + index),
      ),
  );
  const [surging, lookups, ...others] = senders;
  if (surging === undefined || lookups === undefined) {
    throw new Error('the plan has too few customers');
  }
  return {surging, lookups, others};
}

async function runPhase(
  {surging, others, lookups}: Senders,
  factor: number,
  durationMs: number,
): Promise<void> {
  const all = [
    surging.run(CHATS_PER_SECOND * factor, durationMs),
    lookups.run(LOOKUPS_PER_SECOND, durationMs),
    ...others.map(other => other.run(CHATS_PER_SECOND, durationMs)),
  ];
  await Effect.runPromise(
    Effect.all(all, {concurrency: 'unbounded', discard: true}),
  );
}

async function runLookups(
  lookups: SteadyCustomer,
  durationMs: number,
): Promise<PhaseCounts> {
  await Effect.runPromise(lookups.run(LOOKUPS_PER_SECOND, durationMs));
  return lookups.getCounts();
}

function readPhase({surging, others, lookups}: Senders): Phase {
  const sum = new PhaseCounts();
  for (const other of others) sum.addAll(other.getCounts());
  return {
    surging: surging.getCounts(),
    others: sum,
    lookups: lookups.getCounts(),
  };
}

function describePhase({surging, others, lookups}: Phase) {
  return {
    surging: surging.describe(),
    others: others.describe(),
    lookups: lookups.describe(),
  };
}
