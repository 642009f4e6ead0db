import assert from 'node:assert/strict';
import {After, AfterAll, Given, Then, When, World} from '@cucumber/cucumber';
import {makeRandomId, Outcome} from '@greengagecross/common';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {BookingFixture} from './booking_fixture.js';
import {
  RESERVATION_CASES,
  sendConcurrently,
  type CaseContext,
} from './reservation_cases.js';
import {
  ReservationSender,
  type Reservation,
  type ReservationReply,
} from './reservation_sender.js';

/** Fixture of a scenario about one reservation. */
interface ReservationWorld extends World {
  reservation?: CaseContext;
  /** In send order. */
  replies: ReservationReply[];
}

// All scenarios of this feature in a test process share one fleet.
let sharedFixture: Promise<BookingFixture> | undefined;

function getReservation(world: ReservationWorld): CaseContext {
  assert.ok(world.reservation);
  return world.reservation;
}

Given(
  'a booking fleet without faults',
  async function (this: ReservationWorld) {
    sharedFixture ??= BookingFixture.start();
    const fixture = await sharedFixture;
    await fixture.removeFaults();
    const work: Reservation = {
      workId: `work-${makeRandomId()}`,
      key: makeIdempotencyKey(Date.now()),
      customer: fixture.getCustomer(0),
    };
    this.reservation = {
      fixture,
      sender: new ReservationSender(),
      work,
    };
  },
);

When(
  /^a reservation is sent with the fault: (.+)$/,
  async function (this: ReservationWorld, fault: string) {
    const run = RESERVATION_CASES[fault];
    assert.ok(run, `no fault case named ${fault}`);
    this.replies = await run(getReservation(this));
  },
);

When(
  'a reservation is sent 20 times concurrently',
  async function (this: ReservationWorld) {
    this.replies = await sendConcurrently(getReservation(this));
  },
);

When(
  'two customers each send a reservation under the same key',
  async function (this: ReservationWorld) {
    const {fixture, sender, work} = getReservation(this);
    const other = {
      ...work,
      workId: `${work.workId}-other`,
      customer: fixture.getCustomer(1),
    };
    this.replies = [
      await sender.send(fixture.getDaemon(0), work),
      await sender.send(fixture.getDaemon(0), other),
    ];
  },
);

Then(
  /^its callers received in turn (.+)$/,
  function (this: ReservationWorld, expected: string) {
    const outcomes = this.replies.map(reply => reply.outcome ?? 'no-reply');
    assert.equal(outcomes.join(' '), expected, JSON.stringify(this.replies));
  },
);

Then(
  'each of its callers received complete or unknown',
  function (this: ReservationWorld) {
    const allowed = [Outcome.COMPLETE, Outcome.UNKNOWN];
    for (const {outcome} of this.replies) {
      assert.ok(outcome !== undefined && allowed.includes(outcome));
    }
  },
);

Then(
  'the workers ran the reservation {int} times',
  async function (this: ReservationWorld, times: number) {
    const {fixture, work} = getReservation(this);
    const runs = await fixture.listRuns(work.workId);
    assert.equal(runs.length, times, JSON.stringify(runs));
  },
);

Then(
  'no attempt that was reported not-run had run',
  async function (this: ReservationWorld) {
    const {fixture, work} = getReservation(this);
    const runs = await fixture.listRuns(work.workId);
    const ran = new Set(runs.map(run => run.attemptId.split('.')[0]));
    for (const {outcome, requestId} of this.replies) {
      if (outcome === Outcome.NOT_RUN) assert.ok(!ran.has(requestId));
    }
  },
);

Then(
  'each customer received the answer to its own reservation',
  function (this: ReservationWorld) {
    const {work} = getReservation(this);
    const answers = this.replies.map(reply => reply.workId);
    assert.deepEqual(answers, [work.workId, `${work.workId}-other`]);
  },
);

After(function (this: ReservationWorld) {
  this.reservation?.sender.close();
});

AfterAll(async function () {
  const fixture = await sharedFixture;
  await fixture?.removeFaults();
  await fixture?.stop();
});
