import {parseArgs} from 'node:util';
import {setTimeout as sleep} from 'node:timers/promises';
import {Effect, Fiber} from 'effect';
import type {Account} from '../account/account.js';
import {ControlTraffic} from '../account/control_traffic.js';
import {readRunObservations} from '../account/gather_evidence.js';
import {makeAccount} from '../account/make_account.js';
import {SkewSampler} from '../account/skew_sampler.js';
import {Fleet} from '../fleet/fleet.js';
import {planFleet, TODAY} from '../fleet/fleet_plan.js';
import {closeCalls} from '../fleet/http_json.js';
import {FleetLoad} from '../load/fleet_load.js';
import {formatAccount} from './format_account.js';

const BEFORE_KILL_MS = 8000;
const AFTER_KILL_MS = 8000;
const LOAD = {
  seed: 1,
  chats: 60,
  bookings: 20,
  turnsPerChat: 6,
  chatPauseMs: 300,
  bookingPauseMs: 100,
};

/** What the demo saw besides the account. */
interface DemoResult {
  readonly account: Account;
  readonly notCompleteBefore: number;
  readonly notCompleteAfter: number;
  readonly unclean: readonly string[];
}

const {values} = parseArgs({options: {json: {type: 'boolean'}}});
const print = (line: string): void => {
  process.stderr.write(`${line}\n`);
};

/** Runs the fleet under load, kills one daemon midway and stops the rest. */
async function runDemo(): Promise<DemoResult> {
  const fleet = new Fleet(await planFleet(TODAY));
  try {
    print('Starting the platform, 13 engines, 4 workers and 5 daemons.');
    await fleet.start();
    return await runLoad(fleet);
  } finally {
    await fleet.stop();
    closeCalls();
    fleet.removeFolder();
  }
}

async function runLoad(fleet: Fleet): Promise<DemoResult> {
  const load = new FleetLoad(fleet.plan, LOAD);
  const sampler = new SkewSampler(fleet.plan.engines);
  const traffic = new ControlTraffic(fleet.plan.daemons);
  await traffic.start();
  const sampling = Effect.runFork(sampler.run());
  const loading = Effect.runPromise(load.run());
  print('Returning chats, lookups and reservations are running.');
  await sleep(BEFORE_KILL_MS);
  const before = load.verdicts.length;
  const victim = fleet.plan.daemons[0]?.id ?? '';
  print(`Killing daemon ${victim}.`);
  fleet.getChild(victim).send('SIGKILL');
  await sleep(AFTER_KILL_MS);
  load.stop();
  await loading;
  await Effect.runPromise(Fiber.interrupt(sampling));
  const bytes = await traffic.computeBytesPerSecond();
  const evidence = await readRunObservations(
    fleet,
    load.verdicts,
    sampler,
    bytes,
  );
  print('Stopping everything gracefully.');
  const codes = await fleet.stop();
  const countNotComplete = (from: number, to: number): number =>
    load.verdicts.slice(from, to).filter(v => !v.isCompleteAndOwn).length;
  return {
    account: makeAccount(evidence),
    notCompleteBefore: countNotComplete(0, before),
    notCompleteAfter: countNotComplete(before, load.verdicts.length),
    unclean: [...codes]
      .filter(([name, code]) => name !== victim && code !== 0)
      .map(([name]) => name),
  };
}

const result = await runDemo();
const {account} = result;
const isSound =
  account.incomplete === 0 &&
  account.executed_though_told_not_run === 0 &&
  account.executed_twice === 0 &&
  result.unclean.length === 0;
const text = values.json
  ? JSON.stringify(account)
  : formatAccount(account, result.notCompleteBefore, result.notCompleteAfter);
process.stdout.write(`${text}\n`);
if (result.unclean.length > 0) print(`Unclean: ${result.unclean.join(' ')}`);
process.exit(isSound ? 0 : 1);
