import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {Outcome, type BackendServer} from '@greengagecross/common';
import {HostState} from '@greengagecross/platform';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {sendJson} from '../fleet/http_json.js';
import {waitUntil} from '../fleet/wait_until.js';
import {FleetLoad} from '../load/fleet_load.js';

const WARM_UP_MS = 1500;
const WATCH_MS = 2000;
const FINISH_LIMIT_MS = 20_000;

/** Fixture of the scenarios with leaving backend servers: load and servers. */
interface LeavingWorld extends FleetWorld {
  load: FleetLoad;
  loadEnd: Promise<void>;
  leavingServers: BackendServer[];
}

Given(
  'a loaded fleet from which an engine and a worker will leave',
  async function (this: LeavingWorld) {
    const {plan} = await this.startFleet({
      daemons: 3,
      engines: 8,
      workers: 3,
      customers: 3,
      profile: {msPerToken: 10},
    });
    this.load = new FleetLoad(plan, {
      seed: 11,
      chats: 6,
      bookings: 6,
      turnsPerChat: 1,
      chatPauseMs: 50,
      bookingPauseMs: 30,
    });
    this.loadEnd = Effect.runPromise(this.load.run());
    await sleep(WARM_UP_MS);
    const runs = await Promise.all(plan.engines.map(e => countRuns(this, e)));
    const busiest = plan.engines[runs.indexOf(Math.max(...runs))];
    const [worker] = plan.workers;
    assert.ok(busiest !== undefined && worker !== undefined);
    assert.ok((await countRuns(this, worker)) > 0);
    this.leavingServers = [busiest, worker];
  },
);

When(
  /^they leave by (the host list|their own word)$/,
  async function (this: LeavingWorld, way: string) {
    const fleet = this.getFleet();
    const ids = this.leavingServers.map(server => server.id);
    if (way === 'their own word') {
      await Promise.all(
        this.leavingServers.map(s =>
          fleet.setBackendFaults(s, {leaving: true}),
        ),
      );
      return;
    }
    await fleet.setHosts(
      fleet.plan.hosts.map(host =>
        ids.includes(host.id) ? {...host, state: HostState.LEAVING} : host,
      ),
    );
  },
);

Then(
  '{int} s later the leaving servers get no new requests',
  async function (this: LeavingWorld, seconds: number) {
    await sleep(seconds * 1000);
    const before = await Promise.all(
      this.leavingServers.map(s => countRuns(this, s)),
    );
    await sleep(WATCH_MS);
    const after = await Promise.all(
      this.leavingServers.map(s => countRuns(this, s)),
    );
    assert.deepEqual(after, before);
    this.load.stop();
    await this.loadEnd;
  },
);

Then(
  'all requests in flight on the leaving servers have finished',
  async function (this: LeavingWorld) {
    for (const server of this.leavingServers) {
      await waitUntil(`${server.id} has finished`, FINISH_LIMIT_MS, async () =>
        (await this.getFleet().readRecord(server)).every(r => r.isFinished),
      );
    }
  },
);

Then(
  'at most {int} requests were refused by the leaving engine',
  async function (this: LeavingWorld, most: number) {
    const [engine] = this.leavingServers;
    assert.ok(engine !== undefined);
    const refusals = await sendJson<number>(engine, 'GET', '/observe/refusals');
    assert.ok(refusals <= most, `${refusals} refusals`);
  },
);

Then(
  'no caller of the fleet with leaving servers saw an error',
  function (this: LeavingWorld) {
    const wrong = this.load.verdicts.filter(
      v => v.outcome !== Outcome.COMPLETE || !v.isCompleteAndOwn,
    );
    const kinds = wrong.map(v => `${v.kind}: ${v.outcome ?? ''} ${v.reason}`);
    assert.equal(wrong.length, 0, kinds.slice(0, 8).join(', '));
  },
);

async function countRuns(
  world: LeavingWorld,
  server: BackendServer,
): Promise<number> {
  return (await world.getFleet().readRecord(server)).length;
}
