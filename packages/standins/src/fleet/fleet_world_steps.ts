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
  private startedFleet: Fleet | undefined;

  /** Starts the scenario's fleet. */
  async startFleet(size: FleetSize): Promise<Fleet> {
    this.startedFleet = new Fleet(await planFleet(size));
    await this.startedFleet.start();
    return this.startedFleet;
  }

  /** Returns the fleet that the scenario started. */
  getFleet(): Fleet {
    const fleet = this.startedFleet;
    if (fleet === undefined) throw new Error('no fleet was started');
    return fleet;
  }

  /** Stops what the scenario started. */
  async stop(): Promise<void> {
    await this.startedFleet?.stop();
    this.startedFleet?.removeFolder();
    this.startedFleet = undefined;
  }
}

setDefaultTimeout(STEP_LIMIT_MS);
setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.stop();
});
