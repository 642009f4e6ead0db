import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {OrderKind} from '@greengagecross/backend';
import {SeededRandom} from '@greengagecross/common';
import {OrdersHarness, TableFault} from './orders_harness.js';

const PAUSE_SHARE = 0.02;

/** State of one scenario about orders. */
interface OrdersWorld extends World {
  orders: OrdersHarness;
  isFencing: boolean;
  fencingNumbers: number[];
}

/** What happens at a moment of a run, by the words of the table. */
type Happening = (orders: OrdersHarness, atMs: number) => void;

const HAPPENINGS: Readonly<Record<string, Happening>> = {
  'nothing fails': () => undefined,
  'the first holder is killed after 3 s': (orders, atMs) => {
    if (atMs === 3000) orders.paused.add(0);
  },
  'the first holder is paused from 3 s to 40 s': (orders, atMs) => {
    if (atMs === 3000) orders.paused.add(0);
    if (atMs === 40_000) orders.paused.delete(0);
  },
  'replies of the table are lost from 2 s to 20 s': (orders, atMs) => {
    if (atMs === 2000) orders.table.fault = TableFault.REPLIES_LOST;
    if (atMs === 20_000) orders.table.fault = TableFault.NONE;
  },
  'the table is down from 2 s to 30 s': (orders, atMs) => {
    if (atMs === 2000) orders.table.fault = TableFault.DOWN;
    if (atMs === 30_000) orders.table.fault = TableFault.NONE;
  },
  'an order is delayed until 30 s and its holder too': (orders, atMs) => {
    const [control] = orders.controls;
    if (control === undefined) return;
    if (atMs === 0) control.isDelaying = true;
    if (atMs === 1000) orders.paused.add(0);
    if (atMs !== 30_000) return;
    control.isDelaying = false;
    control.sendDelayed();
    orders.paused.delete(0);
  },
};

Given(
  /^(\d+) order holders and (\d+) engines that (check|ignore) old fencing numbers$/,
  function (this: OrdersWorld, holders: string, engines: string, how: string) {
    this.isFencing = how === 'check';
    this.orders = new OrdersHarness(
      Number(holders),
      Number(engines),
      this.isFencing,
    );
    this.fencingNumbers = [];
  },
);

Given(
  'every engine has version {string} and {int} request in flight',
  function (this: OrdersWorld, version: string, inFlight: number) {
    for (const engine of this.orders.engines.values()) {
      assert.equal(engine.getState(0).modelVersion, version);
      engine.inFlight = inFlight;
    }
  },
);

When('version {string} is wanted', function (this: OrdersWorld, v: string) {
  this.orders.desiredVersion = v;
});

When(
  'an order with fencing number {int} reached every engine',
  function (this: OrdersWorld, fencingNumber: number) {
    for (const engine of this.orders.engines.values()) {
      engine.apply({kind: OrderKind.RESUME, value: '', fencingNumber}, 0);
    }
  },
);

When(
  /^the order holders run for (\d+) s while (?!holders)(.+)$/,
  async function (this: OrdersWorld, seconds: string, what: string) {
    const happen = HAPPENINGS[what];
    assert.ok(happen, `nothing is known of: ${what}`);
    await this.orders.run(Number(seconds), atMs => happen(this.orders, atMs));
  },
);

When(
  'the order holders run for {int} s while holders are paused at random with seed {int}',
  async function (this: OrdersWorld, seconds: number, seed: number) {
    const random = new SeededRandom(seed);
    const versions = ['v2', 'v3', 'v4'];
    await this.orders.run(seconds, () => {
      if (random.nextUnit() < PAUSE_SHARE) {
        this.orders.desiredVersion = random.choose(versions) ?? 'v2';
      }
      for (let index = 0; index < this.orders.holders.length; index += 1) {
        if (random.nextUnit() >= PAUSE_SHARE) continue;
        if (this.orders.paused.has(index)) this.orders.paused.delete(index);
        else this.orders.paused.add(index);
      }
    });
  },
);

Then(
  'every ordered engine has version {string} and takes work',
  function (this: OrdersWorld, version: string) {
    for (const [id, engine] of this.orders.engines) {
      const state = engine.getState(this.orders.nowMs);
      assert.equal(state.modelVersion, version, id);
      assert.equal(state.isDraining, false, id);
    }
  },
);

Then(
  'no ordered engine loaded weights while a request was in flight',
  function (this: OrdersWorld) {
    for (const [id, engine] of this.orders.engines) {
      const loads = engine.applied.findIndex(o => o.kind === OrderKind.LOAD);
      const drains = engine.applied.findIndex(o => o.kind === OrderKind.DRAIN);
      assert.ok(drains >= 0 && drains < loads, id);
    }
  },
);

Then(
  'at most {int} ordered engines were out of work at once',
  function (this: OrdersWorld, most: number) {
    assert.ok(
      this.orders.mostOutOfWork <= most,
      `${this.orders.mostOutOfWork} were`,
    );
  },
);

Then(
  'the ordered engines ran no order of an older number after a newer one where they check it',
  function (this: OrdersWorld) {
    if (!this.isFencing) return;
    for (const [id, engine] of this.orders.engines) {
      const numbers = engine.applied.map(order => order.fencingNumber);
      assert.deepEqual(
        numbers,
        [...numbers].sort((a, b) => a - b),
        id,
      );
    }
  },
);

Then(
  'no two order holders held the lease at the same moment',
  function (this: OrdersWorld) {
    assert.equal(this.orders.mostHolding, 1);
  },
);

Then(
  'each new holder of the orders had a higher fencing number',
  function (this: OrdersWorld) {
    const numbers = [...this.orders.engines.values()]
      .flatMap(engine => engine.applied)
      .map(order => order.fencingNumber);
    assert.ok(new Set(numbers).size > 1, 'the lease never changed hands');
  },
);

Then('no order holder holds the lease', function (this: OrdersWorld) {
  const {nowMs} = this.orders;
  assert.ok(this.orders.holders.every(holder => !holder.isHolding(nowMs)));
});
