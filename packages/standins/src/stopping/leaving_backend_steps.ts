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

const LOADED_MS = 1500;
const WATCH_MS = 2000;
const FINISH_LIMIT_MS = 20_000;

/** State of a scenario in which backend servers leave. */
interface LeavingWorld extends FleetWorld {
  load: FleetLoad;
  loadEnd: Promise<void>;
  left: BackendServer[];
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
    await sleep(LOADED_MS);
    const runs = await Promise.all(plan.engines.map(e => countRuns(this, e)));
    const busiest = plan.engines[runs.indexOf(Math.max(...runs))];
    const [worker] = plan.workers;
    assert.ok(busiest !== undefined && worker !== undefined);
    assert.ok((await countRuns(this, worker)) > 0);
    this.left = [busiest, worker];
  },
);

When(
  /^they leave by (the host list|their own word)$/,
  async function (this: LeavingWorld, way: string) {
    const fleet = this.getFleet();
    const ids = this.left.map(server => server.id);
    if (way === 'their own word') {
      await Promise.all(
        this.left.map(s => fleet.setBackendFaults(s, {leaving: true})),
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
  '{int} s later they are given no new work',
  async function (this: LeavingWorld, seconds: number) {
    await sleep(seconds * 1000);
    const before = await Promise.all(this.left.map(s => countRuns(this, s)));
    await sleep(WATCH_MS);
    const after = await Promise.all(this.left.map(s => countRuns(this, s)));
    assert.deepEqual(after, before);
    this.load.stop();
    await this.loadEnd;
  },
);

Then(
  'what was in flight on them has finished',
  async function (this: LeavingWorld) {
    for (const server of this.left) {
      await waitUntil(`${server.id} has finished`, FINISH_LIMIT_MS, async () =>
        (await this.getFleet().readRecord(server)).every(r => r.isFinished),
      );
    }
  },
);

Then(
  'at most {int} requests were refused by the leaving engine',
  async function (this: LeavingWorld, most: number) {
    const [engine] = this.left;
    assert.ok(engine !== undefined);
    const refusals = await sendJson<number>(engine, 'GET', '/observe/refusals');
    assert.ok(refusals <= most, `${refusals} refusals`);
  },
);

Then(
  'no caller of the fleet they left saw an error',
  function (this: LeavingWorld) {
    const wrong = this.load.verdicts.filter(
      v => v.told !== Outcome.COMPLETE || !v.isOwnWhole,
    );
    const kinds = wrong.map(v => `${v.kind}: ${v.told ?? ''} ${v.reason}`);
    assert.equal(wrong.length, 0, kinds.slice(0, 8).join(', '));
  },
);

async function countRuns(
  world: LeavingWorld,
  server: BackendServer,
): Promise<number> {
  return (await world.getFleet().readRecord(server)).length;
}
