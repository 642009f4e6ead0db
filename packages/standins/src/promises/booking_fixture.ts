import {NO_FAULTS, type StandinFaults} from '../faults.js';
import {Fleet} from '../fleet/fleet.js';
import {
  planFleet,
  type CustomerPlan,
  type DaemonPlan,
} from '../fleet/fleet_plan.js';
import {sendJson} from '../fleet/http_json.js';
import {waitUntil} from '../fleet/wait_until.js';
import {StandinKind} from '../standin_kind.js';
import type {RunRecord} from '../backends/run_record.js';

const WAIT_LIMIT_MS = 20_000;
const FLEET_SIZE = {
  daemons: 3,
  engines: 1,
  workers: 2,
  customers: 2,
  tuning: {
    directoryKeepMs: 100,
    platformTimeoutMs: 2000,
    backendSilenceMs: 2000,
    backendConnectTimeoutMs: 2000,
  },
};
const TRANSACT_PATH = '/v1/table/transact';

interface ClaimRow {
  readonly value: string;
}

/** A fleet of three daemons, one engine and two workers with settable faults. */
export class BookingFixture {
  private constructor(readonly fleet: Fleet) {}

  /** Plans and starts the fleet. */
  static async start(): Promise<BookingFixture> {
    const fleet = new Fleet(await planFleet(FLEET_SIZE));
    await fleet.start();
    return new BookingFixture(fleet);
  }

  /** Returns a daemon by its index in the plan; throws if there is none. */
  getDaemon(index: number): DaemonPlan {
    const daemon = this.fleet.plan.daemons[index];
    if (daemon === undefined) throw new Error(`no daemon ${index}`);
    return daemon;
  }

  /** Returns a customer by its index in the plan; throws if there is none. */
  getCustomer(index: number): CustomerPlan {
    const customer = this.fleet.plan.customers[index];
    if (customer === undefined) throw new Error(`no customer ${index}`);
    return customer;
  }

  /** Sets faults that affect only the platform's table transactions. */
  async setWriteFaults(faults: Partial<StandinFaults>): Promise<void> {
    await this.fleet.setPlatformFaults({...faults, onlyPath: TRANSACT_PATH});
  }

  /** Sets the same faults on every worker. */
  async setWorkerFaults(faults: Partial<StandinFaults>): Promise<void> {
    for (const worker of this.fleet.plan.workers) {
      await this.fleet.setBackendFaults(worker, faults);
    }
  }

  /** Clears all faults, restarts killed processes and resumes frozen daemons. */
  async removeFaults(): Promise<void> {
    await this.fleet.setPlatformFaults(NO_FAULTS);
    for (const worker of this.fleet.plan.workers) {
      if (!this.fleet.getChild(worker.id).isRunning()) {
        await this.fleet.startBackend(worker, StandinKind.WORKER);
      }
    }
    await this.setWorkerFaults(NO_FAULTS);
    for (const daemon of this.fleet.plan.daemons) {
      const child = this.fleet.getChild(daemon.id);
      child.send('SIGCONT');
      if (!child.isRunning()) await this.fleet.startDaemon(daemon);
    }
  }

  /** Sends SIGKILL to a daemon and waits until it has exited. */
  async stopDaemonHard(index: number): Promise<void> {
    const child = this.fleet.getChild(this.getDaemon(index).id);
    child.send('SIGKILL');
    await child.waitEnd();
  }

  /** Sends SIGKILL to each worker and waits until it has exited. */
  async stopWorkersHard(): Promise<void> {
    for (const worker of this.fleet.plan.workers) {
      const child = this.fleet.getChild(worker.id);
      child.send('SIGKILL');
      await child.waitEnd();
    }
  }

  /** Lists the runs of a work id on all workers. */
  async listRuns(workId: string): Promise<RunRecord[]> {
    const records = await Promise.all(
      this.fleet.plan.workers.map(worker => this.fleet.readRecord(worker)),
    );
    return records.flat().filter(run => run.workId === workId);
  }

  /** Waits until at least `count` claims are in a state. */
  async waitClaim(state: string, count = 1): Promise<void> {
    await waitUntil(`claim in state ${state}`, WAIT_LIMIT_MS, async () => {
      const rows = await sendJson<ClaimRow[]>(
        this.fleet.plan.platform,
        'GET',
        '/observe/claims',
      );
      const found = rows.filter(row => row.value.includes(`"${state}"`));
      return found.length >= count;
    });
  }

  /** Counts the stored claims that are in a state. */
  async countClaims(state: string): Promise<number> {
    const rows = await sendJson<ClaimRow[]>(
      this.fleet.plan.platform,
      'GET',
      '/observe/claims',
    );
    return rows.filter(row => row.value.includes(`"${state}"`)).length;
  }

  /** Waits until a worker has started to run a work id. */
  async waitRun(workId: string): Promise<void> {
    await waitUntil(`a run of ${workId}`, WAIT_LIMIT_MS, async () => {
      const runs = await this.listRuns(workId);
      return runs.length > 0;
    });
  }

  /** Stops the fleet and deletes its folder. */
  async stop(): Promise<void> {
    await this.fleet.stop();
    this.fleet.removeFolder();
  }
}
