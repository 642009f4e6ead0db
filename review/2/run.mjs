// One of four engines is faulty: the body of its answers has no end. Each
// answer is a slow trickle of bytes, none of which completes an event.
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';
import {
  Fleet,
  HAS_TROUBLE,
  HOST,
  makeConfig,
  makeRoute,
  runScript,
  send,
  sleep,
} from '../standins/fleet.mjs';

const DAEMONS = 2;
const TIMEOUT_MS = 800;
/** CONFIG: half a second after the route's `timeout_ms`. */
const LATE_MS = 500;
/** A requester abandons a stream after this gap: eight times `gap_aim_ms`. */
const ABANDON_MS = 2000;
const SOUND_INTERVAL_MS = 50;
const STREAM_INTERVAL_MS = 100;
const TROUBLE_MS = 20_000;

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
          timeout_ms: 10_000,
          target_latency_ms: 250,
          gap_aim_ms: 250,
          sticky: true,
          resumable: false,
        }),
        makeRoute('reservas', 'unsafe', {timeout_ms: TIMEOUT_MS, priority: 2}),
      ],
      ['asistente', 'reservas'],
    ),
  );
  await fleet.startWorkers(4, {
    service: 'reservas',
    slots: 6,
    backAfterMs: 4000,
  });
  await fleet.startWorkers(3, {
    service: 'asistente',
    slots: 32,
    backAfterMs: 4000,
  });
  const id = 'i-0badc0ffee';
  const engine = spawn(
    process.execPath,
    [`${import.meta.dirname}/engine.mjs`, id, HAS_TROUBLE ? 'faulty' : 'sound'],
    {stdio: ['ignore', 'pipe', 'inherit', 'ipc']},
  );
  fleet.watch(engine);
  createInterface({input: engine.stdout}).on('line', line => {
    const {kind, ...fields} = JSON.parse(line);
    fleet.record(kind, fields);
    if (kind !== 'engine-port') return;
    fleet.store.put('servers', id, {
      service: 'asistente',
      address: `127.0.0.1:${fields.port}`,
      zone: 'centro-a',
      version: 'v1',
      slots: 32,
      state: 'ready',
      cold_left_ms: 0,
      call_seq: 0,
      born: Date.now(),
    });
  });
  await fleet.startDaemons(DAEMONS);
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    const daemon = fleet.daemons[sent % DAEMONS];
    void fleet.call(daemon, {
      label: 'reservation',
      method: 'POST',
      path: `/reservas/r${sent}`,
      body: `{"n":${sent}}`,
    });
  }, SOUND_INTERVAL_MS);
  const readyTimer = setInterval(() => {
    for (const {ready, name} of fleet.daemons) {
      const askedAtMs = performance.now();
      void send(ready, {path: '/ready'}).then(({status}) => {
        const afterMs = Math.round(performance.now() - askedAtMs);
        fleet.record('ready', {daemon: name, status, afterMs});
      });
    }
  }, 1000);
  await sleep(4000);
  let prompts = 0;
  const streams = setInterval(() => {
    prompts += 1;
    const shared = `77aa0001:512,${(0x91bd0000 + prompts).toString(16)}:700`;
    const own = `${(0xe4000000 + prompts).toString(16)}:130`;
    void fleet.call(fleet.daemons[prompts % DAEMONS], {
      label: 'prompt',
      method: 'POST',
      path: '/asistente/2f',
      deadlineMs: 10_000,
      abandonMs: ABANDON_MS,
      body: `{"question":${prompts}}`,
      headers: {
        host: HOST,
        'x-greengagecross-model': 'm',
        'x-greengagecross-token-counts': '1342,80',
        'x-greengagecross-prompt-prefix': `${shared},${own}`,
      },
    });
  }, STREAM_INTERVAL_MS);
  await sleep(TROUBLE_MS);
  clearInterval(streams);
  clearInterval(timer);
  clearInterval(readyTimer);
  await sleep(3000);
  const endMs = fleet.record('end').atMs;
  const answers = new Map(fleet.list('answered').map(e => [e.id, e]));
  const all = fleet.list('sent').filter(e => e.label === 'reservation');
  const waits = all.map(e => (answers.get(e.id)?.atMs ?? endMs) - e.atMs);
  const due = waits.filter(ms => ms > TIMEOUT_MS).length;
  const late = waits.filter(ms => ms > TIMEOUT_MS + LATE_MS).length;
  const longestMs = Math.round(Math.max(...waits));
  await fleet.finish(
    due >= 8 && late > 0.5 * due,
    `${all.length} reservations to sound workers; unanswered at ` +
      `${TIMEOUT_MS} ms: ${due}; half a second later: ${late}; ` +
      `longest wait ${longestMs} ms`,
  );
});
