import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import {TestClock} from 'effect/testing';
import {PeerMethod} from '@greengagecross/peers';
import {Loss, SlotFleetFake, type SlotDaemon} from './slot_fleet_fake.js';
import type {Slot} from './slot_renewer.js';

const REQUEST_COUNT = 50;
/** Load multiple at which the bound refuses no request of the scenarios. */
const LOOSE_LOAD_MULTIPLE = 6;
/** Load multiple at which e1 reaches its bound in the scenarios. */
const TIGHT_LOAD_MULTIPLE = 1.5;

/** Fixture of a fleet of three daemons that share slots. */
interface SlotWorld extends World {
  fleet: SlotFleetFake;
  /** Event while d2 holds its slot, as the feature names it. */
  event: string;
  /** Number of slots of e1 that were granted. */
  grantedCount: number;
  /** Whether the waiting request was granted a slot. */
  isWaitingGranted: boolean;
}

function run<A>(program: Effect.Effect<A>): Promise<A> {
  return Effect.runPromise(program.pipe(Effect.provide(TestClock.layer())));
}

function acquire(daemon: SlotDaemon, engine: string, slotId: string) {
  return daemon.broker.acquire(engine, slotId, 0);
}

/**
 * Causes an event while d2 holds the slot; none if the event is unknown.
 *
 * @param renewalFiber fiber in which d2 renews its slots
 */
function applyEvent(
  fleet: SlotFleetFake,
  event: string,
  slot: Slot,
  renewalFiber: Fiber.Fiber<never>,
): Effect.Effect<unknown> {
  const d2 = fleet.getDaemon('d2');
  switch (event) {
    case 'd2 releases its slot':
      return d2.broker.release(slot);
    case 'd2 releases its slot and the RPC is lost':
      fleet.losses.set(PeerMethod.RELEASE_SLOT, Loss.REQUEST);
      return d2.broker.release(slot);
    case 'd2 crashes':
      fleet.remove('d2');
      return Fiber.interrupt(renewalFiber);
    case 'd2 stops renewing':
      return Fiber.interrupt(renewalFiber);
    case 'd2 stops renewing for 14 seconds':
      return Effect.gen(function* () {
        yield* Fiber.interrupt(renewalFiber);
        yield* Effect.forkDetach(
          Effect.andThen(Effect.sleep('14 seconds'), d2.renewer.run()),
        );
      });
    case 'd1 crashes and d3 owns e1':
      return Effect.sync(() => fleet.remove('d1'));
    case 'only d2 takes d3 for the owner':
      return Effect.sync(() => {
        d2.liveIds = ['d2', 'd3'];
      });
    case 'd2 requests another slot and the reply is lost':
      fleet.losses.set(PeerMethod.ACQUIRE_SLOT, Loss.REPLY);
      return acquire(d2, fleet.engine, 'another');
    case 'd2 requests another slot and reply and release are lost':
      fleet.losses.set(PeerMethod.ACQUIRE_SLOT, Loss.REPLY);
      fleet.losses.set(PeerMethod.RELEASE_SLOT, Loss.REQUEST);
      return acquire(d2, fleet.engine, 'another');
    default:
      return Effect.void;
  }
}

Given(
  'slot daemons d1, d2 and d3, whose engine e1 is owned by d1',
  function (this: SlotWorld) {
    this.fleet = new SlotFleetFake(LOOSE_LOAD_MULTIPLE);
  },
);

Given('d2 holds a slot of e1', function (this: SlotWorld) {
  // The last step acquires the slot, on the clock of its test program.
});

When(/^this happens: (.+)$/, function (this: SlotWorld, event: string) {
  this.event = event;
});

Then(
  /^after (\d+) seconds the slots of e1 counted by (d\d) are (\d+)$/,
  async function (
    this: SlotWorld,
    seconds: string,
    owner: string,
    count: string,
  ) {
    const {fleet, event} = this;
    const program = Effect.gen(function* () {
      for (const id of ['d1', 'd3']) {
        yield* Effect.forkChild(fleet.getDaemon(id).renewer.run());
      }
      const d2 = fleet.getDaemon('d2');
      const renewalFiber = yield* Effect.forkChild(d2.renewer.run());
      const slot = yield* acquire(d2, fleet.engine, 'slot');
      assert.ok(slot);
      yield* applyEvent(fleet, event, slot, renewalFiber);
      yield* TestClock.adjust(`${Number(seconds)} seconds`);
      return fleet.getDaemon(owner).ledger.count(fleet.engine);
    });
    assert.equal(await run(program), Number(count));
  },
);

Given(
  'slot daemons with {int} requests on each of two other engines',
  function (this: SlotWorld, requests: number) {
    this.fleet = new SlotFleetFake(TIGHT_LOAD_MULTIPLE);
    this.fleet.addOtherLoad(requests, 0);
  },
);

When(
  /^d1 and d2 are both asked for slots of e1 and (each|only d1|neither) lists the other as live$/,
  async function (this: SlotWorld, listing: string) {
    const {fleet} = this;
    if (listing !== 'each') fleet.getDaemon('d2').liveIds = ['d2', 'd3'];
    if (listing === 'neither') fleet.getDaemon('d1').liveIds = ['d1', 'd3'];
    const program = Effect.gen(function* () {
      let granted = 0;
      for (let index = 0; index < REQUEST_COUNT; index += 1) {
        const daemon = fleet.getDaemon(index % 2 === 0 ? 'd1' : 'd2');
        const request = {
          engine: fleet.engine,
          slotId: `slot ${index}`,
          holder: daemon.id,
        };
        if (yield* daemon.requestHandler.answerAcquire(request)) granted += 1;
        yield* TestClock.adjust('100 millis');
      }
      return granted;
    });
    this.grantedCount = await run(program);
  },
);

Then(
  'the slots granted for e1 are at most {int}',
  function (this: SlotWorld, most: number) {
    assert.ok(this.grantedCount <= most, `${this.grantedCount}`);
    assert.ok(this.grantedCount > 0);
  },
);

When(
  /^d1 takes all slots of e1, (d1|d2) requests one and waits up to (.+) seconds(| in RPCs that fail at the sender while the owner handles them) and one slot is released after (.+) seconds$/,
  async function (
    this: SlotWorld,
    asker: string,
    waitSeconds: string,
    how: string,
    releaseSeconds: string,
  ) {
    const {fleet} = this;
    const d1 = fleet.getDaemon('d1');
    const waitMs = Number(waitSeconds) * 1000;
    const program = Effect.gen({self: this}, function* () {
      const slots: Slot[] = [];
      for (;;) {
        const name = `slot ${slots.length}`;
        const slot = yield* acquire(d1, fleet.engine, name);
        if (slot === undefined) break;
        slots.push(slot);
      }
      this.grantedCount = slots.length;
      if (how !== '') fleet.losses.set(PeerMethod.ACQUIRE_SLOT, Loss.CUT_OFF);
      const waiting = yield* Effect.forkChild(
        fleet.getDaemon(asker).broker.acquire(fleet.engine, 'waiting', waitMs),
      );
      yield* TestClock.adjust(`${Number(releaseSeconds)} seconds`);
      const [first] = slots;
      assert.ok(first);
      yield* d1.broker.release(first);
      yield* TestClock.adjust('3 seconds');
      return yield* Fiber.join(waiting);
    });
    this.isWaitingGranted = (await run(program)) !== undefined;
  },
);

Then(
  'the waiting request gets its slot of e1 with at most {int} RPCs',
  function (this: SlotWorld, calls: number) {
    assert.ok(this.isWaitingGranted);
    const made = this.fleet.callCounts.get(PeerMethod.ACQUIRE_SLOT) ?? 0;
    assert.ok(made <= calls, `${made} calls`);
  },
);

Then(
  'e1 has one slot fewer in use than when all were taken',
  function (this: SlotWorld) {
    assert.ok(!this.isWaitingGranted);
    const {engine} = this.fleet;
    assert.equal(
      this.fleet.getDaemon('d1').ledger.count(engine),
      this.grantedCount - 1,
    );
  },
);
