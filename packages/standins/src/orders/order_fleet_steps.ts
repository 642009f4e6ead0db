import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {OrderKind} from '@greengagecross/backend';
import {Outcome} from '@greengagecross/common';
import type {EngineAnswers} from '@greengagecross/questionnaire';
import {WorkKind} from '../callers/caller_verdict.js';
import {sendJson} from '../fleet/http_json.js';
import {waitUntil} from '../fleet/wait_until.js';
import {FleetLoad} from '../load/fleet_load.js';
import {
  acceptAnswers,
  findEngine,
  listHolders,
  readAllOrders,
  readOrders,
  readState,
  type OrderFleetWorld,
} from './order_fleet_world.js';

const LOAD_MS = 300;
const LIMIT_MS = 25_000;
const STEP = {timeout: LIMIT_MS + 10_000};

Given(
  /^a (loaded )?fleet of (\d+) daemons whose (\d+) engines (check|ignore) old fencing numbers$/,
  async function (
    this: OrderFleetWorld,
    loaded: string | null,
    daemons: string,
    engines: string,
    how: string,
  ) {
    this.isChecking = how === 'check';
    const fleet = await this.startFleet({
      daemons: Number(daemons),
      engines: Number(engines),
      workers: 1,
      customers: 2,
      profile: {
        checksFencing: this.isChecking,
        loadMs: LOAD_MS,
        msPerToken: 20,
      },
      tuning: {orderLeaseMs: 4000, orderTimeoutMs: 1000, orderPollMs: 100},
    });
    this.answers = fleet.plan.answers;
    this.revision = 1;
    this.lost = undefined;
    this.load = undefined;
    if (!loaded) return;
    this.load = new FleetLoad(fleet.plan, {
      seed: 5,
      chats: 4,
      bookings: 0,
      turnsPerChat: 3,
      chatPauseMs: 50,
      bookingPauseMs: 50,
    });
    this.loadEnd = Effect.runPromise(this.load.run());
  },
);

When(
  'model version {string} with adapter {string} is accepted',
  async function (this: OrderFleetWorld, modelVersion: string, name: string) {
    const engines = this.answers.engines.map(engine => ({
      ...engine,
      checksOrders: this.isChecking,
      modelVersion,
      adapters: [name],
    }));
    await acceptAnswers(this, {...this.answers, engines});
  },
);

When(
  'model version {string} is accepted for two services of {int} engines each, with {int} load at once',
  async function (
    this: OrderFleetWorld,
    modelVersion: string,
    size: number,
    loadsAtOnce: number,
  ) {
    const [first] = this.answers.engines;
    assert.ok(first);
    const {otherWork, ...plain} = first;
    const weights = {modelVersion, loadsAtOnce, outOfWorkAtOnce: size};
    const split = (name: string, from: number): EngineAnswers => ({
      ...plain,
      ...weights,
      name,
      servers: first.servers.slice(from, from + size),
    });
    const engines = [
      {...split(first.name, 0), ...(otherWork ? {otherWork} : {})},
      split('second-model', size),
    ];
    await acceptAnswers(this, {...this.answers, engines});
  },
);

When(
  /^(the next order|orders) to (\S+) (?:is|are) kept under way$/,
  async function (this: OrderFleetWorld, which: string, id: string) {
    const query = which === 'orders' ? '?which=all' : '';
    const path = `/observe/orders/hold${query}`;
    await sendJson(findEngine(this, id), 'POST', path);
  },
);

When(
  /^the (holder of the orders|platform) (is killed|is frozen|goes down) once (\S+) was ordered$/,
  STEP,
  async function (
    this: OrderFleetWorld,
    what: string,
    how: string,
    id: string,
  ) {
    const engine = findEngine(this, id);
    await waitUntil(`${id} was ordered`, LIMIT_MS, async () => {
      return (await readOrders(engine)).held > 0;
    });
    if (what === 'platform') {
      await this.getFleet().setPlatformFaults({down: true});
      return;
    }
    await waitUntil('one daemon holds the orders', LIMIT_MS, async () => {
      return (await listHolders(this)).length === 1;
    });
    [this.lost] = await listHolders(this);
    assert.ok(this.lost);
    const child = this.getFleet().getChild(this.lost.id);
    child.send(how === 'is killed' ? 'SIGKILL' : 'SIGSTOP');
  },
);

When(
  'another daemon holds the orders',
  STEP,
  async function (this: OrderFleetWorld) {
    await waitUntil('another daemon holds the orders', LIMIT_MS, async () => {
      return (await listHolders(this)).length === 1;
    });
  },
);

When(
  /^(the frozen holder goes on and )?the orders to (\S+) arrive$/,
  STEP,
  async function (
    this: OrderFleetWorld,
    goesOn: string | null,
    id: string,
  ) {
    const {lost} = this;
    if (goesOn) {
      assert.ok(lost);
      this.getFleet().getChild(lost.id).send('SIGCONT');
      this.lost = undefined;
      await this.getFleet().readDump(lost);
    }
    const engine = findEngine(this, id);
    const {held} = await readOrders(engine);
    await sendJson(engine, 'POST', '/observe/orders/release');
    await waitUntil('the orders took their way', LIMIT_MS, async () => {
      const {met} = await readOrders(engine);
      return met.filter(order => order.wasHeld).length >= held;
    });
  },
);

When('the platform is there again', async function (this: OrderFleetWorld) {
  await this.getFleet().setPlatformFaults({down: false});
});

Then(
  'every engine of the fleet has version {string} and takes work',
  STEP,
  async function (this: OrderFleetWorld, version: string) {
    const {engines} = this.getFleet().plan;
    const adapters = this.answers.engines[0]?.adapters ?? [];
    await waitUntil(`every engine has ${version}`, LIMIT_MS, async () => {
      const states = await Promise.all(engines.map(readState));
      return states.every(
        state =>
          state.modelVersion === version &&
          state.loadingVersion === '' &&
          !state.isDraining &&
          state.adapters.join() === adapters.join(),
      );
    });
  },
);

Then(
  'no caller of the ordered engines saw an error or a cut',
  STEP,
  async function (this: OrderFleetWorld) {
    const {load} = this;
    assert.ok(load);
    load.stop();
    await this.loadEnd;
    assert.ok(load.verdicts.length > 0);
    const wrong = load.verdicts
      .filter(v => v.told !== Outcome.COMPLETE || !v.isOwnWhole)
      .map(v => `${v.kind}: ${v.told ?? 'nothing'} ${v.reason}`);
    assert.deepEqual(wrong, [], `of ${load.verdicts.length}`);
  },
);

Then(
  'no engine of the fleet got new weights with a request in flight',
  async function (this: OrderFleetWorld) {
    const loads = (await readAllOrders(this))
      .flatMap(({met}) => met)
      .filter(order => order.kind === OrderKind.LOAD);
    assert.equal(loads.length, this.getFleet().plan.engines.length);
    assert.ok(loads.every(order => order.inFlight === 0));
  },
);

Then(
  'at most {int} engine of the fleet was out of work at once',
  async function (this: OrderFleetWorld, most: number) {
    const orders = await readAllOrders(this);
    const changes = orders.flatMap(({met}) => {
      const drained = met.find(order => order.kind === OrderKind.DRAIN);
      const resumed = met.find(order => order.kind === OrderKind.RESUME);
      assert.ok(drained && resumed);
      return [
        {atMs: drained.atMs, step: 1},
        {atMs: resumed.atMs, step: -1},
      ];
    });
    changes.sort((a, b) => a.atMs - b.atMs || a.step - b.step);
    let out = 0;
    for (const {step} of changes) {
      out += step;
      assert.ok(out <= most, `${out} were`);
    }
  },
);

Then(
  'the dump of one daemon tells that {int} engines are as wanted',
  STEP,
  async function (this: OrderFleetWorld, count: number) {
    const fleet = this.getFleet();
    await waitUntil('a dump tells it', LIMIT_MS, async () => {
      const dumps = await Promise.all(
        fleet.plan.daemons.map(daemon => fleet.readDump(daemon)),
      );
      const reports = dumps.flatMap(dump => dump.orders);
      return reports.length === 1 && reports[0]?.asWanted === count;
    });
  },
);

Then(
  'the fencing number of the orders has risen',
  async function (this: OrderFleetWorld) {
    const met = (await readAllOrders(this)).flatMap(orders => orders.met);
    const numbers = new Set(met.map(order => order.fencingNumber));
    assert.ok(numbers.size > 1, [...numbers].join());
  },
);

Then(
  'no engine that checks took an older number after a newer one',
  async function (this: OrderFleetWorld) {
    if (!this.isChecking) return;
    for (const {met} of await readAllOrders(this)) {
      const numbers = met
        .filter(order => order.accepted)
        .map(order => order.fencingNumber);
      const sorted = [...numbers].sort((a, b) => a - b);
      assert.deepEqual(numbers, sorted);
    }
  },
);

Then(
  /^the late order to (\S+) was (refused|taken and then repaired with a newer number)$/,
  STEP,
  async function (this: OrderFleetWorld, id: string, effect: string) {
    const engine = findEngine(this, id);
    const {met} = await readOrders(engine);
    const at = met.findIndex(order => order.wasHeld);
    const late = met[at];
    assert.ok(late);
    assert.equal(late.kind, OrderKind.DRAIN);
    assert.ok(met.slice(0, at).some(o => o.fencingNumber > late.fencingNumber));
    if (effect === 'refused') {
      assert.equal(late.accepted, false);
      return;
    }
    assert.equal(late.accepted, true);
    await waitUntil(`${id} was repaired`, LIMIT_MS, async () => {
      const {met: all} = await readOrders(engine);
      return all
        .slice(at + 1)
        .some(
          order =>
            order.kind === OrderKind.RESUME &&
            order.fencingNumber > late.fencingNumber,
        );
    });
  },
);

Then(
  'no daemon holds the orders',
  STEP,
  async function (this: OrderFleetWorld) {
    await waitUntil('no daemon holds the orders', LIMIT_MS, async () => {
      return (await listHolders(this)).length === 0;
    });
  },
);

Then(
  'no more orders come while {int} more chats are answered',
  STEP,
  async function (this: OrderFleetWorld, more: number) {
    const {load} = this;
    assert.ok(load);
    const before = await countArrived(this);
    const answered = load.verdicts.length;
    await waitUntil(`${more} more chats are answered`, LIMIT_MS, () => {
      const chats = load.verdicts.filter(v => v.kind === WorkKind.CHAT);
      return chats.length >= answered + more;
    });
    assert.equal(await countArrived(this), before);
  },
);

Then(
  'no two engines of the fleet loaded weights at once',
  async function (this: OrderFleetWorld) {
    const starts = (await readAllOrders(this))
      .flatMap(({met}) => met)
      .filter(order => order.kind === OrderKind.LOAD)
      .map(order => order.atMs)
      .sort((a, b) => a - b);
    assert.equal(starts.length, this.getFleet().plan.engines.length);
    for (const [at, startMs] of starts.entries()) {
      const endMs = (starts[at - 1] ?? 0) + LOAD_MS;
      assert.ok(
        startMs >= endMs,
        `load ${at} began ${endMs - startMs} ms early`,
      );
    }
  },
);

async function countArrived(world: OrderFleetWorld): Promise<number> {
  const orders = await readAllOrders(world);
  return orders.reduce((sum, {met, held}) => sum + met.length + held, 0);
}
