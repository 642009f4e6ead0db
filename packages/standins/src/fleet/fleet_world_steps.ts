import {
  After,
  setDefaultTimeout,
  setWorldConstructor,
  World,
} from '@cucumber/cucumber';
import type {CallerVerdict} from '../callers/caller_verdict.js';
import {Fleet} from './fleet.js';
import {planFleet, type FleetSize} from './fleet_plan.js';

const STEP_LIMIT_MS = 60_000;

/** State of one scenario that runs a fleet of processes. */
export class FleetWorld extends World {
  readonly verdicts: CallerVerdict[] = [];
  private started: Fleet | undefined;

  /** Starts the scenario's fleet. */
  async startFleet(size: FleetSize): Promise<Fleet> {
    this.started = new Fleet(await planFleet(size));
    await this.started.start();
    return this.started;
  }

  /** Gets the fleet that the scenario started. */
  getFleet(): Fleet {
    if (this.started === undefined) throw new Error('no fleet was started');
    return this.started;
  }

  /** Stops what the scenario started. */
  async stop(): Promise<void> {
    await this.started?.stop();
    this.started?.removeFolder();
    this.started = undefined;
  }
}

setDefaultTimeout(STEP_LIMIT_MS);
setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.stop();
});
