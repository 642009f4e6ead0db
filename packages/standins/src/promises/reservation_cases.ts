import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import type {BookingFixture} from './booking_fixture.js';
import type {
  Reservation,
  ReservationReply,
  ReservationSender,
} from './reservation_sender.js';

const DAY_MS = 24 * 60 * 60_000;
const CONCURRENT_SENDS = 20;
const HOUR_MS = 60 * 60_000;

/** Fleet, client and reservation of one fault case. */
export interface CaseContext {
  readonly fixture: BookingFixture;
  readonly sender: ReservationSender;
  readonly work: Reservation;
}

/** Causes a fault around one reservation; returns all replies in send order. */
export type ReservationCase = (
  context: CaseContext,
) => Promise<ReservationReply[]>;

/** Sends the reservation, with changes, to a daemon by its index. */
function sendTo(
  {fixture, sender, work}: CaseContext,
  daemon: number,
  changes: Partial<Reservation> = {},
): Promise<ReservationReply> {
  return sender.send(fixture.getDaemon(daemon), {...work, ...changes});
}

/** Runs `act` and waits until one more claim is in a state. */
async function waitNextClaim(
  fixture: BookingFixture,
  state: string,
  act: () => void | Promise<void>,
): Promise<void> {
  const before = await fixture.countClaims(state);
  await act();
  await fixture.waitClaim(state, before + 1);
}

/** Sends to daemon 0 during a fault and to `secondDaemon` after it. */
async function sendDuringFault(
  context: CaseContext,
  start: () => Promise<void>,
  end: () => Promise<void>,
  secondDaemon = 1,
): Promise<ReservationReply[]> {
  await start();
  const first = await sendTo(context, 0);
  await end();
  return [first, await sendTo(context, secondDaemon)];
}

/** Sends during a fault of the platform's writes, and again after it. */
function sendDuringWriteFault(
  context: CaseContext,
  fault: 'down' | 'loseReplies',
): Promise<ReservationReply[]> {
  const {fixture} = context;
  return sendDuringFault(
    context,
    () => fixture.setWriteFaults({[fault]: true}),
    () => fixture.setWriteFaults({[fault]: false}),
  );
}

/** Sends during a fault of all workers, and again after it. */
function sendDuringWorkerFault(
  context: CaseContext,
  fault: 'holdReplies' | 'loseReplies' | 'leaving',
  secondDaemon = 1,
): Promise<ReservationReply[]> {
  const {fixture} = context;
  return sendDuringFault(
    context,
    () => fixture.setWorkerFaults({[fault]: true}),
    () => fixture.setWorkerFaults({[fault]: false}),
    secondDaemon,
  );
}

/**
 * Sends to daemon 0 and waits until its claim is stored. The platform holds
 * back its reply, so that the daemon does not know of its claim.
 */
async function sendWithHeldClaimReply(
  context: CaseContext,
): Promise<{reply: Promise<ReservationReply>}> {
  const {fixture} = context;
  await fixture.setWriteFaults({holdReplies: true});
  let reply: Promise<ReservationReply> | undefined;
  await waitNextClaim(fixture, 'claimed', () => {
    reply = sendTo(context, 0);
  });
  if (reply === undefined) throw new Error('no reservation was sent');
  return {reply};
}

/** Fault cases by their names in at_most_once.feature. */
export const RESERVATION_CASES: Readonly<Record<string, ReservationCase>> = {
  'no fault': async context => [
    await sendTo(context, 0),
    await sendTo(context, 1),
  ],
  'holder killed after its claim was stored': async context => {
    const {fixture} = context;
    const {reply} = await sendWithHeldClaimReply(context);
    await fixture.stopDaemonHard(0);
    await fixture.setWriteFaults({holdReplies: false});
    return [await reply, await sendTo(context, 1)];
  },
  'holder killed after its claim was stored, then platform down':
    async context => {
      const {fixture} = context;
      const {reply} = await sendWithHeldClaimReply(context);
      await fixture.stopDaemonHard(0);
      await fixture.setWriteFaults({holdReplies: false, down: true});
      const second = await sendTo(context, 1);
      await fixture.setWriteFaults({down: false});
      return [await reply, second, await sendTo(context, 2)];
    },
  'holder killed after dispatching to a worker': async context => {
    const {fixture, work} = context;
    await fixture.setWorkerFaults({holdReplies: true});
    const first = sendTo(context, 0);
    await fixture.waitRun(work.workId);
    await fixture.stopDaemonHard(0);
    await fixture.setWorkerFaults({holdReplies: false});
    return [await first, await sendTo(context, 1)];
  },
  'holder killed after recording the answer': async context => {
    const {fixture, work} = context;
    await fixture.setWorkerFaults({slowMs: 300});
    let first: Promise<ReservationReply> | undefined;
    await waitNextClaim(fixture, 'claimed', () => {
      first = sendTo(context, 0);
    });
    const before = await fixture.countClaims('done');
    await fixture.setWriteFaults({holdReplies: true});
    await fixture.waitRun(work.workId);
    await fixture.waitClaim('done', before + 1);
    await fixture.stopDaemonHard(0);
    await fixture.setWriteFaults({holdReplies: false});
    const replies = [await first, await sendTo(context, 1)];
    return replies.flatMap(reply => reply ?? []);
  },
  'holder frozen between claim and dispatch': async context => {
    const {fixture} = context;
    const holder = fixture.fleet.getChild(fixture.getDaemon(0).id);
    const {reply} = await sendWithHeldClaimReply(context);
    holder.send('SIGSTOP');
    await fixture.setWriteFaults({holdReplies: false});
    const second = await sendTo(context, 1);
    holder.send('SIGCONT');
    return [await reply, second, await sendTo(context, 2)];
  },
  "claim's reply lost": context => sendDuringWriteFault(context, 'loseReplies'),
  'replies to the claim and to the read after it lost': context => {
    const {fixture} = context;
    const {fleet} = fixture;
    return sendDuringFault(
      context,
      () =>
        fleet.setPlatformFaults({loseReplies: true, onlyPath: '/v1/table/'}),
      () =>
        waitNextClaim(fixture, 'released', () =>
          fleet.setPlatformFaults({loseReplies: false}),
        ),
    );
  },
  'platform down': context => sendDuringWriteFault(context, 'down'),
  'platform down after an earlier attempt': async context => {
    const {fixture} = context;
    const first = await sendTo(context, 0);
    await fixture.setWriteFaults({down: true});
    const second = await sendTo(context, 1);
    await fixture.setWriteFaults({down: false});
    return [first, second, await sendTo(context, 2)];
  },
  'worker silent after the request was sent': context =>
    sendDuringWorkerFault(context, 'holdReplies'),
  "worker's reply lost": context =>
    sendDuringWorkerFault(context, 'loseReplies'),
  'every worker leaving, resent through another daemon': context =>
    sendDuringWorkerFault(context, 'leaving'),
  'every worker leaving, resent through the same daemon': context =>
    sendDuringWorkerFault(context, 'leaving', 0),
  'every worker killed before the first attempt': context => {
    const {fixture} = context;
    return sendDuringFault(
      context,
      () => fixture.stopWorkersHard(),
      () => fixture.removeFaults(),
    );
  },
  'caller disconnects before the answer': async context => {
    const {fixture, sender, work} = context;
    await fixture.setWorkerFaults({slowMs: 300});
    const abort = new AbortController();
    const before = await fixture.countClaims('done');
    const sending = sender
      .send(fixture.getDaemon(0), work, abort.signal)
      .catch(() => undefined);
    await fixture.waitRun(work.workId);
    abort.abort();
    await sending;
    await fixture.waitClaim('done', before + 1);
    return [await sendTo(context, 1)];
  },
  'same key with another body': async context => [
    await sendTo(context, 0),
    await sendTo(context, 1, {workId: `${context.work.workId}-other`}),
  ],
  'no key': async context => [await sendTo(context, 0, {key: undefined})],
  'a key without a timestamp': async context => [
    await sendTo(context, 0, {key: 'reservation-17'}),
  ],
  'a key older than its retention period': async context => [
    await sendTo(context, 0, {
      key: makeIdempotencyKey(Date.now() - DAY_MS - HOUR_MS),
    }),
  ],
  'a key made one hour ahead': async context => [
    await sendTo(context, 0, {key: makeIdempotencyKey(Date.now() + HOUR_MS)}),
  ],
};

/** Sends one reservation concurrently, to the daemons in rotation. */
export function sendConcurrently(
  context: CaseContext,
): Promise<ReservationReply[]> {
  const {daemons} = context.fixture.fleet.plan;
  return Promise.all(
    Array.from({length: CONCURRENT_SENDS}, (unused, index) =>
      sendTo(context, index % daemons.length),
    ),
  );
}
