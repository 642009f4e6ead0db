// A daemon is stopped as planned while streams run. The only engine that is not
// leaving preempts some of them for 1.5 s in the middle and then goes on.
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
const EVENTS = 20;
const EVENT_MS = 60;
/** A stream is preempted once, before this event. */
const PREEMPTED_EVENT = 6;
const PREEMPTION_MS = 1500;
/** A requester abandons a stream after this gap: eight times `gap_aim_ms`. */
const ABANDON_MS = 2000;

await runScript(async () => {
  const fleet = new Fleet(import.meta.dirname);
  await fleet.store.start();
  fleet.store.put(
    'op',
    'config',
    makeConfig(
      7,
      [
        makeRoute('asistente', 'streaming', {
          timeout_ms: 12_000,
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
  const writeStream = async ({headers, id, engine}, response, own) => {
    response.writeHead(200, {...own, 'content-type': 'text/event-stream'});
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= EVENTS; event += 1) {
      if (HAS_TROUBLE && event === PREEMPTED_EVENT) {
        fleet.record('preempted', {id, engine, forMs: PREEMPTION_MS});
        await sleep(PREEMPTION_MS);
      }
      if (response.destroyed) {
        fleet.record('cut-at-engine', {id, engine, event});
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
        deadlineMs: 12_000,
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
  const answers = await Promise.all(calls);
  const lost = answers.filter(({isComplete}) => !isComplete);
  const signalMs = fleet.list('signal')[0].atMs;
  const cuts = fleet
    .list('answered')
    .filter(({isComplete}) => !isComplete)
    .map(({atMs}) => Math.round(atMs - signalMs));
  await fleet.finish(
    lost.length > 0,
    `${STREAMS} streams sent before SIGTERM; ${lost.length} ended without a ` +
      'complete answer' +
      (cuts.length > 0
        ? `, ${Math.min(...cuts)} to ${Math.max(...cuts)} ms after SIGTERM`
        : '') +
      `; grace ${BOUNDS.grace_s} s`,
  );
});
