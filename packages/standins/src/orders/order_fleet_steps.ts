import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect} from 'effect';
import type {EngineAnswers} from '@greengagecross/questionnaire';
import {sendJson} from '../fleet/http_json.js';
import {waitUntil} from '../fleet/wait_until.js';
import {FleetLoad} from '../load/fleet_load.js';
import {
  acceptAnswers,
  findEngine,
  LIMIT_MS,
  listHolders,
  readOrders,
  readState,
  STEP,
  WEIGHTS_LOAD_MS,
  type OrderFleetWorld,
} from './order_fleet_world.js';

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
        loadMs: WEIGHTS_LOAD_MS,
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
  async function (this: OrderFleetWorld, goesOn: string | null, id: string) {
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
