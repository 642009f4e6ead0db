// SIGTERM reaches a daemon under load. Requests that are sent later than three
// seconds after it, on kept channels, last longer than what is left of the grace.
import {Agent} from 'node:http';
import {
  BOUNDS,
  Fleet,
  HAS_TROUBLE,
  makeConfig,
  makeRoute,
  runScript,
  sleep,
} from '../../standins/fleet.mjs';

const CHANNELS = 60;
const EVENTS = 55;
const EVENT_MS = 100;
/** LOST: requests that were sent later than this after SIGTERM count. */
const LATEST_EXCUSED_MS = 3000;
const FIRST_SEND_MS = 3000;
const SEND_INTERVAL_MS = 2;

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
  await fleet.startWorkers(4, {
    service: 'asistente',
    slots: 32,
    backAfterMs: 4000,
    events: EVENTS,
    eventMs: EVENT_MS,
  });
  await fleet.startDaemons(1);
  const [daemon] = fleet.daemons;
  let prompts = 0;
  const callEngine = (label, agent, count) => {
    prompts += 1;
    const shared = `77aa0001:512,${(0x91bd0000 + (prompts % 9)).toString(16)}:700`;
    const own = `${(0xe4000000 + prompts).toString(16)}:130`;
    return fleet.call(daemon, {
      label,
      agent,
      method: 'POST',
      path: '/asistente/2f',
      deadlineMs: 12_000,
      body: `{"question":${prompts}}`,
      headers: {
        'x-greengagecross-model': 'm',
        'x-greengagecross-token-counts': `1342,${count}`,
        'x-greengagecross-prompt-prefix': `${shared},${own}`,
      },
    });
  };
  const agents = Array.from(
    {length: CHANNELS},
    () => new Agent({keepAlive: true, maxSockets: 1}),
  );
  await Promise.all(agents.map(agent => callEngine('before', agent, 80)));
  await sleep(1000);
  const startMs = performance.now();
  fleet.record('term');
  if (HAS_TROUBLE) fleet.signal(daemon, 'SIGTERM');
  const calls = agents.map(async (agent, at) => {
    const dueMs = startMs + FIRST_SEND_MS + at * SEND_INTERVAL_MS;
    while (performance.now() < dueMs - 20) {
      await sleep(dueMs - 20 - performance.now());
    }
    while (performance.now() < dueMs) await sleep(0);
    return callEngine('after', agent, 80);
  });
  await Promise.all(calls);
  const termMs = fleet.list('term')[0].atMs;
  const lateSent = new Map(
    fleet
      .list('sent')
      .filter(e => e.label === 'after' && e.atMs > termMs + LATEST_EXCUSED_MS)
      .map(e => [e.id, e]),
  );
  const passedOn = new Set(fleet.list('run').map(({id}) => id));
  const lost = fleet
    .list('answered')
    .filter(e => lateSent.has(e.id) && passedOn.has(e.id) && !e.isComplete);
  const offsets = lost.map(e => lateSent.get(e.id).atMs - termMs);
  await fleet.finish(
    lost.length > 0,
    `${lateSent.size} requests sent later than ${LATEST_EXCUSED_MS} ms after ` +
      `SIGTERM; ${lost.length} were passed on and cut without a complete answer` +
      (lost.length > 0
        ? `, sent ${Math.min(...offsets)} to ${Math.max(...offsets)} ms after it`
        : '') +
      `; grace ${BOUNDS.grace_s} s`,
  );
});
