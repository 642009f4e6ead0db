// A daemon is stopped as planned while streams run. Memory runs out at the only
// engine that is ready: it preempts the newest streams for 1.5 s, until older
// ones have ended, and then goes on.
import {Agent} from 'node:http';
import {
  BOUNDS,
  Fleet,
  HAS_TROUBLE,
  makeConfig,
  makeRoute,
  runScript,
  sleep,
} from '../standins/fleet.mjs';

const STREAMS = 20;
/** So many of the newest streams are preempted. */
const PREEMPTED = 5;
const EVENTS = 30;
const EVENT_MS = 60;
/** A stream is preempted once, before this event. */
const PREEMPTED_EVENT = 6;
const PREEMPTION_MS = 1500;
/** A requester abandons a stream after this gap: eight times `gap_aim_ms`. */
const ABANDON_MS = 2000;
const TIMEOUT_MS = 12_000;
/** Longer than `stable_window_ms`: the start of the daemon is long over. */
const SETTLE_MS = 4000;
/** Planned work lasts until 1 s after `grace_s`. */
const PLANNED_MS = 1000 * (BOUNDS.grace_s + 1);

await runScript(async () => {
  const fleet = new Fleet(`${import.meta.dirname}/record.txt`);
  await fleet.store.start();
  fleet.store.put(
    'op',
    'config',
    makeConfig(
      7,
      [
        makeRoute('asistente', 'streaming', {
          timeout_ms: TIMEOUT_MS,
          target_latency_ms: 400,
          gap_aim_ms: 250,
          max_attempts: 2,
          sticky: true,
          resumable: true,
        }),
      ],
      ['asistente'],
    ),
  );
  let runs = 0;
  const writeStream = async ({headers, id, engine}, response, own) => {
    runs += 1;
    const isNewest = runs > STREAMS - PREEMPTED;
    response.writeHead(200, {...own, 'content-type': 'text/event-stream'});
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= EVENTS; event += 1) {
      if (HAS_TROUBLE && isNewest && event === PREEMPTED_EVENT) {
        fleet.record('preempted', {id, engine, forMs: PREEMPTION_MS});
        await sleep(PREEMPTION_MS);
      }
      if (response.destroyed) {
        fleet.record('channel-closed-at-work', {id, engine, event});
        return;
      }
      response.write(`id: ${event}\ndata: piece ${event} of ${EVENTS}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  };
  await fleet.startWorkers(1, {
    service: 'asistente',
    slots: 32,
    backAfterMs: 4000,
    writeStream,
  });
  await fleet.startDaemons(1);
  await sleep(SETTLE_MS);
  const [daemon] = fleet.daemons;
  const agent = new Agent({keepAlive: true, maxSockets: STREAMS});
  const calls = [];
  for (let at = 0; at < STREAMS; at += 1) {
    const shared = `77aa0001:512,${(0x91bd0000 + (at % 5)).toString(16)}:700`;
    const own = `${(0xe4000000 + at).toString(16)}:130`;
    calls.push(
      fleet.call(daemon, {
        label: 'stream',
        agent,
        method: 'POST',
        path: '/asistente/2f',
        deadlineMs: TIMEOUT_MS,
        abandonMs: ABANDON_MS,
        body: `{"question":${at}}`,
        headers: {
          'x-greengagecross-model': 'm',
          'x-greengagecross-token-counts': '1342,80',
          'x-greengagecross-prompt-prefix': `${shared},${own}`,
        },
      }),
    );
    await sleep(10);
  }
  fleet.signal(daemon, 'SIGTERM');
  await Promise.all(calls);
  const signalMs = fleet.list('signal')[0].atMs;
  const sentMs = new Map(fleet.list('sent').map(e => [e.id, e.atMs]));
  const passedOn = new Set(fleet.list('run').map(({id}) => id));
  // The engine notices a closed channel when it goes on.
  await sleep(PREEMPTION_MS);
  const atWork = new Set(
    fleet.list('channel-closed-at-work').map(({id}) => id),
  );
  // What the rule excuses: the requester left, the worker had ended or broken
  // off, the deadline or timeout was reached, the planned work was over.
  const lost = fleet
    .list('answered')
    .filter(e => !e.isComplete && !e.isAbandoned)
    .filter(e => passedOn.has(e.id) && atWork.has(e.id))
    .filter(e => e.atMs - sentMs.get(e.id) < TIMEOUT_MS)
    .filter(e => e.atMs > signalMs && e.atMs < signalMs + PLANNED_MS);
  const afterMs = lost.map(({atMs}) => Math.round(atMs - signalMs));
  await fleet.finish(
    lost.length > 0,
    `${STREAMS} streams sent before SIGTERM, ` +
      `${fleet.list('preempted').length} preempted; ${lost.length} ended ` +
      'without a complete answer while their engine was at work' +
      (lost.length > 0
        ? `, ${Math.min(...afterMs)} to ${Math.max(...afterMs)} ms after SIGTERM`
        : '') +
      `; grace ${BOUNDS.grace_s} s`,
  );
});
