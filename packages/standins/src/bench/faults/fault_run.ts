import {setTimeout as sleep} from 'node:timers/promises';
import {Effect, Fiber} from 'effect';
import {SeededRandom} from '@greengagecross/common';
import type {Account} from '../../account/account.js';
import {ControlTraffic} from '../../account/control_traffic.js';
import {makeAccount} from '../../account/make_account.js';
import {SkewSampler} from '../../account/skew_sampler.js';
import {Fleet} from '../../fleet/fleet.js';
import {planFleet, type FleetSize} from '../../fleet/fleet_plan.js';
import {FleetLoad, type LoadOptions} from '../../load/fleet_load.js';
import type {FaultKind} from './fault_kind.js';
import {FaultInjector} from './fault_maker.js';

const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 3000;
const MEAN_PAUSE_MS = 1200;
const CONCURRENT_FAULT_SHARE = 0.4;

/** Options of a run with faults. */
export interface FaultRunOptions {
  readonly size: FleetSize;
  readonly load: LoadOptions;
  readonly seed: number;
  /** Duration of the phase with random faults, in milliseconds. */
  readonly randomMs: number;
  /** Faults to inject one after the other before the random phase. */
  readonly fixed: readonly FaultKind[];
}

/** The account of a run and the number of injected faults by kind. */
export interface FaultRunResult {
  readonly account: Account;
  readonly faults: Readonly<Partial<Record<FaultKind, number>>>;
}

/** Runs load on a new fleet while faults are injected and reverted. */
export async function runFaults(
  options: FaultRunOptions,
): Promise<FaultRunResult> {
  const fleet = new Fleet(await planFleet(options.size));
  try {
    await fleet.start();
    return await runLoad(fleet, options);
  } finally {
    await fleet.stop();
    fleet.removeFolder();
  }
}

async function runLoad(
  fleet: Fleet,
  options: FaultRunOptions,
): Promise<FaultRunResult> {
  const load = new FleetLoad(fleet.plan, options.load);
  const sampler = new SkewSampler(fleet.plan.engines);
  const traffic = new ControlTraffic(fleet.plan.daemons);
  await traffic.start();
  const sampling = Effect.runFork(sampler.run());
  const loading = Effect.runPromise(load.run());
  const random = new SeededRandom(options.seed);
  const injector = new FaultInjector(fleet, random);
  for (const kind of options.fixed) await injector.run(kind, MIN_FAULT_MS);
  await runRandom(injector, random, options.randomMs);
  load.stop();
  await loading;
  await Effect.runPromise(Fiber.interrupt(sampling));
  const {engines, workers} = fleet.plan;
  const account = makeAccount({
    verdicts: load.verdicts,
    engineRecords: engines.map(engine => fleet.readRuns(engine)),
    workerRecords: workers.map(worker => fleet.readRuns(worker)),
    skew: sampler.computeSkew(),
    controlBytes: await traffic.computeBytesPerSecond(),
  });
  return {account, faults: Object.fromEntries(injector.counts)};
}

async function runRandom(
  injector: FaultInjector,
  random: SeededRandom,
  durationMs: number,
): Promise<void> {
  const endMs = performance.now() + durationMs;
  const running: Promise<void>[] = [];
  const start = (): void => {
    const faultMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
    running.push(injector.run(injector.chooseKind(), faultMs));
  };
  while (performance.now() < endMs) {
    start();
    if (random.nextUnit() < CONCURRENT_FAULT_SHARE) start();
    await sleep(random.nextExponential(MEAN_PAUSE_MS));
  }
  await Promise.all(running);
}
