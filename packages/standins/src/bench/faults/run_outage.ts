import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {Effect} from 'effect';
import {Outcome} from '@greengagecross/common';
import {WorkKind, type CallerVerdict} from '../../callers/caller_verdict.js';
import {NO_FAULTS, type StandinFaults} from '../../faults.js';
import {Fleet} from '../../fleet/fleet.js';
import {planFleet, TODAY} from '../../fleet/fleet_plan.js';
import {closeCalls, sendJson} from '../../fleet/http_json.js';
import {FleetLoad} from '../../load/fleet_load.js';
import type {PlatformCounts} from '../../platform/platform_server.js';

const WARM_UP_MS = 5000;
const SAMPLED_SECONDS = 10;
const MS_PER_SECOND = 1000;
const LOAD = {
  chats: 40,
  bookings: 30,
  turnsPerChat: 6,
  chatPauseMs: 300,
  bookingPauseMs: 200,
};

/** Platform faults by the value of `--kind`. */
const OUTAGES: Readonly<Record<string, Partial<StandinFaults>>> = {
  down: {down: true},
  silent: {holdReplies: true},
};

/** Rates of calls to the platform, averaged over the sampled seconds. */
interface PlatformRates {
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly hostReadsPerSecond: number;
  /** Calls of all kinds in the busiest second. */
  readonly mostCallsInOneSecond: number;
}

/** Runs `npm run bench -- outage --seed N --seconds S --kind down|silent`. */
export async function run(args: readonly string[]): Promise<number> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      seed: {type: 'string', default: '1'},
      seconds: {type: 'string', default: '60'},
      kind: {type: 'string', default: 'down'},
    },
  });
  const faults = OUTAGES[values.kind];
  if (faults === undefined) throw new Error(`unknown kind ${values.kind}`);
  const fleet = new Fleet(await planFleet(TODAY));
  try {
    await fleet.start();
    const load = new FleetLoad(fleet.plan, {...LOAD, seed: +values.seed});
    const loading = Effect.runPromise(load.run());
    await sleep(WARM_UP_MS);
    const before = await sampleRates(fleet);
    const memoryBefore = await readMemory(fleet);
    const first = load.verdicts.length;
    await fleet.setPlatformFaults(faults);
    const quarterMs = (Number(values.seconds) * MS_PER_SECOND) / 4;
    const memoryDuring: number[] = [];
    while (memoryDuring.length < 4) {
      await sleep(quarterMs);
      memoryDuring.push(await readMemory(fleet));
    }
    const during = load.verdicts.slice(first);
    await fleet.setPlatformFaults(NO_FAULTS);
    const atReturn = await sampleRates(fleet);
    load.stop();
    await loading;
    const line = {
      kind: values.kind,
      seconds: Number(values.seconds),
      daemons: fleet.plan.daemons.length,
      duringOutage: countOutcomes(during),
      memoryBytesBefore: memoryBefore,
      memoryBytesDuring: memoryDuring,
      before,
      atReturn,
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
    return 0;
  } finally {
    await fleet.stop();
    closeCalls();
    fleet.removeFolder();
  }
}

async function sampleRates(fleet: Fleet): Promise<PlatformRates> {
  const first = await readCounts(fleet);
  let last = first;
  let most = 0;
  for (let second = 0; second < SAMPLED_SECONDS; second += 1) {
    await sleep(MS_PER_SECOND);
    const counts = await readCounts(fleet);
    most = Math.max(most, countCalls(counts) - countCalls(last));
    last = counts;
  }
  return {
    readsPerSecond: (last.reads - first.reads) / SAMPLED_SECONDS,
    writesPerSecond: (last.writes - first.writes) / SAMPLED_SECONDS,
    hostReadsPerSecond: (last.hostReads - first.hostReads) / SAMPLED_SECONDS,
    mostCallsInOneSecond: most,
  };
}

function readCounts(fleet: Fleet): Promise<PlatformCounts> {
  return sendJson(fleet.plan.platform, 'GET', '/observe/counts');
}

function countCalls({reads, writes, hostReads}: PlatformCounts): number {
  return reads + writes + hostReads;
}

/** Reads the memory of the daemon that uses most, in bytes. */
async function readMemory(fleet: Fleet): Promise<number> {
  const dumps = await Promise.all(
    fleet.plan.daemons.map(daemon => fleet.readDump(daemon)),
  );
  return Math.max(...dumps.map(dump => dump.memoryBytes));
}

/** Counts reported outcomes by kind and outcome, such as `chat complete`. */
function countOutcomes(
  verdicts: readonly CallerVerdict[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const kind of Object.values(WorkKind)) {
    for (const outcome of Object.values(Outcome)) {
      const matching = verdicts.filter(
        v => v.kind === kind && v.outcome === outcome,
      );
      if (matching.length > 0) counts[`${kind} ${outcome}`] = matching.length;
    }
  }
  return counts;
}
