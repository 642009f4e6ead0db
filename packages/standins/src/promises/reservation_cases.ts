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

/** Fault cases by the name that stands in the feature's table. */
export const RESERVATION_CASES: Readonly<Record<string, ReservationCase>> = {
  'no fault': async context => [
    await sendTo(context, 0),
    await sendTo(context, 1),
  ],
  'holder killed once its claim stands': async context => {
    const {bench} = context;
    await bench.setWriteFaults({holdReplies: true});
    let first: Promise<ReservationReply> | undefined;
    await waitNextClaim(bench, 'claimed', () => {
      first = sendTo(context, 0);
    });
    await bench.stopDaemonHard(0);
    await bench.setWriteFaults({holdReplies: false});
    return [...(await Promise.all([first])), await sendTo(context, 1)].flatMap(
      reply => reply ?? [],
    );
  },
  'holder killed after its claim, then the platform down': async context => {
    const {bench} = context;
    await bench.setWriteFaults({holdReplies: true});
    let first: Promise<ReservationReply> | undefined;
    await waitNextClaim(bench, 'claimed', () => {
      first = sendTo(context, 0);
    });
    await bench.stopDaemonHard(0);
    await bench.setWriteFaults({holdReplies: false, down: true});
    const second = await sendTo(context, 1);
    await bench.setWriteFaults({down: false});
    const replies = [await first, second, await sendTo(context, 2)];
    return replies.flatMap(reply => reply ?? []);
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
    await bench.setWriteFaults({holdReplies: true});
    let first: Promise<ReservationReply> | undefined;
    await waitNextClaim(bench, 'claimed', () => {
      first = sendTo(context, 0);
    });
    holder.send('SIGSTOP');
    await bench.setWriteFaults({holdReplies: false});
    const second = await sendTo(context, 1);
    holder.send('SIGCONT');
    const replies = [await first, second, await sendTo(context, 2)];
    return replies.flatMap(reply => reply ?? []);
  },
  "claim's reply lost": async context => {
    const {bench} = context;
    await bench.setWriteFaults({loseReplies: true});
    const first = await sendTo(context, 0);
    await bench.setWriteFaults({loseReplies: false});
    return [first, await sendTo(context, 1)];
  },
  "claim's reply and its reading back lost": async context => {
    const {bench} = context;
    await bench.fleet.setPlatformFaults({
      loseReplies: true,
      onlyPath: '/v1/table/',
    });
    const first = await sendTo(context, 0);
    await waitNextClaim(bench, 'released', () =>
      bench.fleet.setPlatformFaults({loseReplies: false}),
    );
    return [first, await sendTo(context, 1)];
  },
  'platform down': async context => {
    const {bench} = context;
    await bench.setWriteFaults({down: true});
    const first = await sendTo(context, 0);
    await bench.setWriteFaults({down: false});
    return [first, await sendTo(context, 1)];
  },
  'platform down after an earlier attempt': async context => {
    const {bench} = context;
    const first = await sendTo(context, 0);
    await bench.setWriteFaults({down: true});
    const second = await sendTo(context, 1);
    await bench.setWriteFaults({down: false});
    return [first, second, await sendTo(context, 2)];
  },
  'silence after the bytes left': async context => {
    const {bench} = context;
    await bench.setWorkerFaults({holdReplies: true});
    const first = await sendTo(context, 0);
    await bench.setWorkerFaults({holdReplies: false});
    return [first, await sendTo(context, 1)];
  },
  "worker's reply lost": async context => {
    const {bench} = context;
    await bench.setWorkerFaults({loseReplies: true});
    const first = await sendTo(context, 0);
    await bench.setWorkerFaults({loseReplies: false});
    return [first, await sendTo(context, 1)];
  },
  'every worker leaving': async context => {
    const {bench} = context;
    await bench.setWorkerFaults({leaving: true});
    const first = await sendTo(context, 0);
    await bench.setWorkerFaults({leaving: false});
    return [first, await sendTo(context, 1)];
  },
  'every worker leaving, then back': async context => {
    const {bench} = context;
    await bench.setWorkerFaults({leaving: true});
    const first = await sendTo(context, 0);
    await bench.setWorkerFaults({leaving: false});
    return [first, await sendTo(context, 0)];
  },
  'every worker killed before': async context => {
    const {bench} = context;
    await bench.stopWorkersHard();
    const first = await sendTo(context, 0);
    await bench.startAgain();
    return [first, await sendTo(context, 1)];
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
