import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import type {BookingBench} from './booking_bench.js';
import type {
  Reservation,
  ReservationReply,
  ReservationSender,
} from './reservation_sender.js';

const DAY_MS = 24 * 60 * 60_000;
const SENDS_AT_ONCE = 20;
const HOUR_MS = 60 * 60_000;

/** What a case works with. */
export interface CaseContext {
  readonly bench: BookingBench;
  readonly sender: ReservationSender;
  readonly work: Reservation;
}

/** A fault brought about around one reservation; gives every reply in order. */
export type ReservationCase = (
  context: CaseContext,
) => Promise<ReservationReply[]>;

/** Sends to a daemon by its place in the plan. */
function sendTo(
  {bench, sender, work}: CaseContext,
  daemon: number,
  changes: Partial<Reservation> = {},
): Promise<ReservationReply> {
  return sender.send(bench.getDaemon(daemon), {...work, ...changes});
}

/** Waits until one more claim has come to a state. */
async function waitNextClaim(
  bench: BookingBench,
  state: string,
  act: () => void | Promise<void>,
): Promise<void> {
  const before = await bench.countClaims(state);
  await act();
  await bench.waitClaim(state, before + 1);
}

/** Sends while a fault holds, and again to another daemon after its end. */
async function sendUnder(
  context: CaseContext,
  start: () => Promise<void>,
  end: () => Promise<void>,
  second = 1,
): Promise<ReservationReply[]> {
  await start();
  const first = await sendTo(context, 0);
  await end();
  return [first, await sendTo(context, second)];
}

/** Sends while the platform's writes meet a fault, and again after it. */
function sendUnderWriteFault(
  context: CaseContext,
  fault: 'down' | 'loseReplies',
): Promise<ReservationReply[]> {
  const {bench} = context;
  return sendUnder(
    context,
    () => bench.setWriteFaults({[fault]: true}),
    () => bench.setWriteFaults({[fault]: false}),
  );
}

/** Sends while every worker has a fault, and again after it. */
function sendUnderWorkerFault(
  context: CaseContext,
  fault: 'holdReplies' | 'loseReplies' | 'leaving',
  second = 1,
): Promise<ReservationReply[]> {
  const {bench} = context;
  return sendUnder(
    context,
    () => bench.setWorkerFaults({[fault]: true}),
    () => bench.setWorkerFaults({[fault]: false}),
    second,
  );
}

/** Sends to a holder that learns nothing of its claim, which stands. */
async function sendHeld(
  context: CaseContext,
): Promise<{reply: Promise<ReservationReply>}> {
  const {bench} = context;
  await bench.setWriteFaults({holdReplies: true});
  let reply: Promise<ReservationReply> | undefined;
  await waitNextClaim(bench, 'claimed', () => {
    reply = sendTo(context, 0);
  });
  if (reply === undefined) throw new Error('nothing was sent');
  return {reply};
}

/** Fault cases by the name that stands in the feature's table. */
export const RESERVATION_CASES: Readonly<Record<string, ReservationCase>> = {
  'no fault': async context => [
    await sendTo(context, 0),
    await sendTo(context, 1),
  ],
  'holder killed once its claim stands': async context => {
    const {bench} = context;
    const {reply} = await sendHeld(context);
    await bench.stopDaemonHard(0);
    await bench.setWriteFaults({holdReplies: false});
    return [await reply, await sendTo(context, 1)];
  },
  'holder killed after its claim, then the platform down': async context => {
    const {bench} = context;
    const {reply} = await sendHeld(context);
    await bench.stopDaemonHard(0);
    await bench.setWriteFaults({holdReplies: false, down: true});
    const second = await sendTo(context, 1);
    await bench.setWriteFaults({down: false});
    return [await reply, second, await sendTo(context, 2)];
  },
  'holder killed after the dispatch': async context => {
    const {bench, work} = context;
    await bench.setWorkerFaults({holdReplies: true});
    const first = sendTo(context, 0);
    await bench.waitRun(work.workId);
    await bench.stopDaemonHard(0);
    await bench.setWorkerFaults({holdReplies: false});
    return [await first, await sendTo(context, 1)];
  },
  'holder killed after the record': async context => {
    const {bench, work} = context;
    await bench.setWorkerFaults({slowMs: 300});
    let first: Promise<ReservationReply> | undefined;
    await waitNextClaim(bench, 'claimed', () => {
      first = sendTo(context, 0);
    });
    const before = await bench.countClaims('done');
    await bench.setWriteFaults({holdReplies: true});
    await bench.waitRun(work.workId);
    await bench.waitClaim('done', before + 1);
    await bench.stopDaemonHard(0);
    await bench.setWriteFaults({holdReplies: false});
    const replies = [await first, await sendTo(context, 1)];
    return replies.flatMap(reply => reply ?? []);
  },
  'holder frozen between claim and dispatch': async context => {
    const {bench} = context;
    const holder = bench.fleet.getChild(bench.getDaemon(0).id);
    const {reply} = await sendHeld(context);
    holder.send('SIGSTOP');
    await bench.setWriteFaults({holdReplies: false});
    const second = await sendTo(context, 1);
    holder.send('SIGCONT');
    return [await reply, second, await sendTo(context, 2)];
  },
  "claim's reply lost": context => sendUnderWriteFault(context, 'loseReplies'),
  "claim's reply and its reading back lost": context => {
    const {bench} = context;
    const {fleet} = bench;
    return sendUnder(
      context,
      () =>
        fleet.setPlatformFaults({loseReplies: true, onlyPath: '/v1/table/'}),
      () =>
        waitNextClaim(bench, 'released', () =>
          fleet.setPlatformFaults({loseReplies: false}),
        ),
    );
  },
  'platform down': context => sendUnderWriteFault(context, 'down'),
  'platform down after an earlier attempt': async context => {
    const {bench} = context;
    const first = await sendTo(context, 0);
    await bench.setWriteFaults({down: true});
    const second = await sendTo(context, 1);
    await bench.setWriteFaults({down: false});
    return [first, second, await sendTo(context, 2)];
  },
  'silence after the bytes left': context =>
    sendUnderWorkerFault(context, 'holdReplies'),
  "worker's reply lost": context =>
    sendUnderWorkerFault(context, 'loseReplies'),
  'every worker leaving': context => sendUnderWorkerFault(context, 'leaving'),
  'every worker leaving, then back': context =>
    sendUnderWorkerFault(context, 'leaving', 0),
  'every worker killed before': context => {
    const {bench} = context;
    return sendUnder(
      context,
      () => bench.stopWorkersHard(),
      () => bench.startAgain(),
    );
  },
  'caller leaves before the answer': async context => {
    const {bench, sender, work} = context;
    await bench.setWorkerFaults({slowMs: 300});
    const leaving = new AbortController();
    const before = await bench.countClaims('done');
    const sending = sender
      .send(bench.getDaemon(0), work, leaving.signal)
      .catch(() => undefined);
    await bench.waitRun(work.workId);
    leaving.abort();
    await sending;
    await bench.waitClaim('done', before + 1);
    return [await sendTo(context, 1)];
  },
  'same key with another body': async context => [
    await sendTo(context, 0),
    await sendTo(context, 1, {workId: `${context.work.workId}-other`}),
  ],
  'no key': async context => [await sendTo(context, 0, {key: undefined})],
  'a key without a time': async context => [
    await sendTo(context, 0, {key: 'reservation-17'}),
  ],
  'a key older than its retention': async context => [
    await sendTo(context, 0, {
      key: makeIdempotencyKey(Date.now() - DAY_MS - HOUR_MS),
    }),
  ],
  'a key from the future': async context => [
    await sendTo(context, 0, {key: makeIdempotencyKey(Date.now() + HOUR_MS)}),
  ],
};

/** Sends one reservation to every daemon at once, many times. */
export function sendAtOnce(context: CaseContext): Promise<ReservationReply[]> {
  const {daemons} = context.bench.fleet.plan;
  return Promise.all(
    Array.from({length: SENDS_AT_ONCE}, (unused, index) =>
      sendTo(context, index % daemons.length),
    ),
  );
}
