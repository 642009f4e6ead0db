import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {OrderKind} from '@greengagecross/backend';
import {Outcome} from '@greengagecross/common';
import {WorkKind} from '../callers/caller_verdict.js';
import {waitUntil} from '../fleet/wait_until.js';
import {
  findEngine,
  LIMIT_MS,
  listHolders,
  readAllOrders,
  readOrders,
  STEP,
  WEIGHTS_LOAD_MS,
  type OrderFleetWorld,
} from './order_fleet_world.js';

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
      .filter(v => v.outcome !== Outcome.COMPLETE || !v.isCompleteAndOwn)
      .map(v => `${v.kind}: ${v.outcome ?? 'nothing'} ${v.reason}`);
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
      const at = met.findIndex(order => order.kind === OrderKind.DRAIN);
      const drained = met[at];
      const resumed = met
        .slice(at + 1)
        .find(order => order.kind === OrderKind.RESUME);
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
  "every engine of the fleet meets the new holder's number",
  STEP,
  async function (this: OrderFleetWorld) {
    await waitUntil('every engine met it', LIMIT_MS, async () => {
      const orders = await readAllOrders(this);
      return orders.every(({met}) => met.some(o => o.fencingNumber > 1));
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
      const endMs = (starts[at - 1] ?? 0) + WEIGHTS_LOAD_MS;
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
