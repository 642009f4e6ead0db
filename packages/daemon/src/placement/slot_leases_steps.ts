import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import {TestClock} from 'effect/testing';
import {PeerMethod} from '@greengagecross/peers';
import {LostCall, SlotFleetFake, type SlotDaemon} from './slot_fleet_fake.js';
import type {Slot} from './slot_keeper.js';

const MAX_GRANTS = 50;
/** Lets one engine carry everything. */
const LOOSE_MULTIPLE = 6;
const TIGHT_MULTIPLE = 1.5;

/** State of one scenario about slots. */
interface SlotWorld extends World {
  fleet: SlotFleetFake;
  failure: string;
  granted: number;
  hasWaited: boolean;
}

function run<A>(program: Effect.Effect<A>): Promise<A> {
  return Effect.runPromise(program.pipe(Effect.provide(TestClock.layer())));
}

function acquire(daemon: SlotDaemon, engine: string, slotId: string) {
  return daemon.broker.acquire(engine, slotId, 0);
}

/** Brings a failure about, d2 holding the slot given. */
function applyFailure(
  fleet: SlotFleetFake,
  failure: string,
  slot: Slot,
  keeping: Fiber.Fiber<never>,
): Effect.Effect<unknown> {
  const d2 = fleet.get('d2');
  switch (failure) {
    case 'd2 releases it':
      return d2.broker.release(slot);
    case 'd2 releases it and the call is lost':
      fleet.lost.set(PeerMethod.RELEASE_SLOT, LostCall.REQUEST);
      return d2.broker.release(slot);
    case 'd2 dies':
      fleet.remove('d2');
      return Fiber.interrupt(keeping);
    case 'd2 is frozen':
      return Fiber.interrupt(keeping);
    case 'd2 is frozen for 14 seconds':
      return Effect.gen(function* () {
        yield* Fiber.interrupt(keeping);
        yield* Effect.forkDetach(
          Effect.andThen(Effect.sleep('14 seconds'), d2.keeper.run()),
        );
      });
    case 'd1 dies and d3 owns e1':
      return Effect.sync(() => fleet.remove('d1'));
    case 'only d2 takes d3 for the owner':
      return Effect.sync(() => {
        d2.live = ['d2', 'd3'];
      });
    case 'd2 asks for another and its reply is lost':
      fleet.lost.set(PeerMethod.ACQUIRE_SLOT, LostCall.REPLY);
      return acquire(d2, fleet.engine, 'another');
    case 'd2 asks again and reply and release are lost':
      fleet.lost.set(PeerMethod.ACQUIRE_SLOT, LostCall.REPLY);
      fleet.lost.set(PeerMethod.RELEASE_SLOT, LostCall.REQUEST);
      return acquire(d2, fleet.engine, 'another');
    default:
      return Effect.void;
  }
}

Given(
  'slot daemons d1, d2 and d3, whose engine e1 is owned by d1',
  function (this: SlotWorld) {
    this.fleet = new SlotFleetFake(LOOSE_MULTIPLE);
  },
);

Given('d2 holds a slot of e1', function (this: SlotWorld) {
  // It is acquired when the scenario's clock starts.
});

When(/^for the slots (.+)$/, function (this: SlotWorld, failure: string) {
  this.failure = failure;
});

Then(
  /^after (\d+) seconds the slots of e1 counted by (d\d) are (\d+)$/,
  async function (
    this: SlotWorld,
    seconds: string,
    owner: string,
    count: string,
  ) {
    const {fleet, failure} = this;
    const program = Effect.gen(function* () {
      for (const id of ['d1', 'd3']) {
        yield* Effect.forkChild(fleet.get(id).keeper.run());
      }
      const d2 = fleet.get('d2');
      const keeping = yield* Effect.forkChild(d2.keeper.run());
      const slot = yield* acquire(d2, fleet.engine, 'slot');
      assert.ok(slot);
      yield* applyFailure(fleet, failure, slot, keeping);
      yield* TestClock.adjust(`${Number(seconds)} seconds`);
      return fleet.get(owner).ledger.count(fleet.engine);
    });
    assert.equal(await run(program), Number(count));
  },
);

Given(
  'slot daemons with {int} requests on each of two other engines',
  function (this: SlotWorld, requests: number) {
    this.fleet = new SlotFleetFake(TIGHT_MULTIPLE);
    this.fleet.addOtherLoad(requests, 0);
  },
);

When(
  /^d1 and d2 both grant slots of e1 and (each|only d1|neither) hears the other$/,
  async function (this: SlotWorld, hearing: string) {
    const {fleet} = this;
    if (hearing !== 'each') fleet.get('d2').live = ['d2', 'd3'];
    if (hearing === 'neither') fleet.get('d1').live = ['d1', 'd3'];
    const program = Effect.gen(function* () {
      let granted = 0;
      for (let index = 0; index < MAX_GRANTS; index += 1) {
        const daemon = fleet.get(index % 2 === 0 ? 'd1' : 'd2');
        const request = {
          engine: fleet.engine,
          slotId: `slot ${index}`,
          holder: daemon.id,
        };
        if (yield* daemon.answers.answerAcquire(request)) granted += 1;
        yield* TestClock.adjust('100 millis');
      }
      return granted;
    });
    this.granted = await run(program);
  },
);

Then(
  'the slots granted for e1 are at most {int}',
  function (this: SlotWorld, most: number) {
    assert.ok(this.granted <= most, `${this.granted}`);
    assert.ok(this.granted > 0);
  },
);

When(
  /^d1 fills e1, (d1|d2) waits (.+) seconds(| in calls that are cut off) and one slot is released after (.+) seconds$/,
  async function (
    this: SlotWorld,
    asker: string,
    waitSeconds: string,
    how: string,
    releaseSeconds: string,
  ) {
    const {fleet} = this;
    const d1 = fleet.get('d1');
    const waitMs = Number(waitSeconds) * 1000;
    const program = Effect.gen({self: this}, function* () {
      const slots: Slot[] = [];
      for (;;) {
        const name = `slot ${slots.length}`;
        const slot = yield* acquire(d1, fleet.engine, name);
        if (slot === undefined) break;
        slots.push(slot);
      }
      this.granted = slots.length;
      if (how !== '') fleet.lost.set(PeerMethod.ACQUIRE_SLOT, LostCall.CUT);
      const waiting = yield* Effect.forkChild(
        fleet.get(asker).broker.acquire(fleet.engine, 'waiting', waitMs),
      );
      yield* TestClock.adjust(`${Number(releaseSeconds)} seconds`);
      const [first] = slots;
      assert.ok(first);
      yield* d1.broker.release(first);
      yield* TestClock.adjust('3 seconds');
      return yield* Fiber.join(waiting);
    });
    this.hasWaited = (await run(program)) !== undefined;
  },
);

Then(
  'the waiting request gets its slot of e1 with at most {int} calls',
  function (this: SlotWorld, calls: number) {
    assert.ok(this.hasWaited);
    const made = this.fleet.calls.get(PeerMethod.ACQUIRE_SLOT) ?? 0;
    assert.ok(made <= calls, `${made} calls`);
  },
);

Then('the slots of e1 are one fewer than before', function (this: SlotWorld) {
  assert.ok(!this.hasWaited);
  const {engine} = this.fleet;
  assert.equal(this.fleet.get('d1').ledger.count(engine), this.granted - 1);
});
