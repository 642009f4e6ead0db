import assert from 'node:assert/strict';
import {After, AfterAll, Given, Then, When, World} from '@cucumber/cucumber';
import {makeRequestId, Outcome} from '@greengagecross/common';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {BookingBench} from './booking_bench.js';
import {
  RESERVATION_CASES,
  sendAtOnce,
  type CaseContext,
} from './reservation_cases.js';
import {
  ReservationSender,
  type Reservation,
  type ReservationReply,
} from './reservation_sender.js';

/** State of one scenario about a reservation. */
interface ReservationWorld extends World {
  reservation?: CaseContext;
  replies: ReservationReply[];
}

// Scenarios of this feature share one fleet in each test process.
let shared: Promise<BookingBench> | undefined;

function getContext(world: ReservationWorld): CaseContext {
  assert.ok(world.reservation);
  return world.reservation;
}

Given(
  'a booking fleet whose faults are off',
  async function (this: ReservationWorld) {
    shared ??= BookingBench.start();
    const bench = await shared;
    await bench.startAgain();
    const work: Reservation = {
      workId: `work-${makeRequestId()}`,
      key: makeIdempotencyKey(Date.now()),
      customer: bench.getCustomer(0),
    };
    this.reservation = {bench, sender: new ReservationSender(), work};
  },
);

When(
  /^a reservation meets this: (.+)$/,
  async function (this: ReservationWorld, fault: string) {
    const run = RESERVATION_CASES[fault];
    assert.ok(run, `no case ${fault}`);
    this.replies = await run(getContext(this));
  },
);

When(
  'a reservation is sent 20 times at once',
  async function (this: ReservationWorld) {
    this.replies = await sendAtOnce(getContext(this));
  },
);

When(
  'two customers each send a reservation under the same key',
  async function (this: ReservationWorld) {
    const {bench, sender, work} = getContext(this);
    const other = {
      ...work,
      workId: `${work.workId}-other`,
      customer: bench.getCustomer(1),
    };
    this.replies = [
      await sender.send(bench.getDaemon(0), work),
      await sender.send(bench.getDaemon(0), other),
    ];
  },
);

Then(
  /^its callers were told in turn (.+)$/,
  function (this: ReservationWorld, expected: string) {
    const told = this.replies.map(reply => reply.outcome ?? 'nothing');
    assert.equal(told.join(' '), expected, JSON.stringify(this.replies));
  },
);

Then(
  'each of its callers was told complete or unknown',
  function (this: ReservationWorld) {
    const allowed = [Outcome.COMPLETE, Outcome.UNKNOWN];
    for (const {outcome} of this.replies) {
      assert.ok(outcome !== undefined && allowed.includes(outcome));
    }
  },
);

Then(
  'the workers ran it {int} times',
  async function (this: ReservationWorld, times: number) {
    const {bench, work} = getContext(this);
    const runs = await bench.listRuns(work.workId);
    assert.equal(runs.length, times, JSON.stringify(runs));
  },
);

Then(
  'no attempt that was told not-run had run',
  async function (this: ReservationWorld) {
    const {bench, work} = getContext(this);
    const runs = await bench.listRuns(work.workId);
    const ran = new Set(runs.map(run => run.attemptId.split('.')[0]));
    for (const {outcome, requestId} of this.replies) {
      if (outcome === Outcome.NOT_RUN) assert.ok(!ran.has(requestId));
    }
  },
);

Then(
  'each of them got the answer to its own work',
  function (this: ReservationWorld) {
    const {work} = getContext(this);
    const answers = this.replies.map(reply => reply.workId);
    assert.deepEqual(answers, [work.workId, `${work.workId}-other`]);
  },
);

After(function (this: ReservationWorld) {
  this.reservation?.sender.close();
});

AfterAll(async function () {
  const bench = await shared;
  await bench?.startAgain();
  await bench?.stop();
});
