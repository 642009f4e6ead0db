// A prompt part crashes each engine that begins to answer it, while there is
// little other traffic.
import {
  BOUNDS,
  Fleet,
  HAS_TROUBLE,
  makeConfig,
  makeRoute,
  runScript,
  sleep,
} from '../../standins/fleet.mjs';

const DAEMONS = 3;
const ENGINES = 8;
const FIRST = '77aa0001:512';
const DEADLY = '5c1e07a2:700';
const SOUND = '91bd3f06:700';
const SOUND_INTERVAL_MS = 500;
const RESEND_MS = 2000;
const RESENDS = 20;
/** BUDGET: requests that may reach workers after the fifth crash. */
const ALLOWED_REQUESTS = 3;

await runScript(async () => {
  const fleet = new Fleet(`${import.meta.dirname}/record.txt`);
  await fleet.store.start();
  const config = makeConfig(
    7,
    [
      makeRoute('asistente', 'streaming', {
        timeout_ms: 10_000,
        target_latency_ms: 250,
        gap_aim_ms: 250,
        sticky: true,
        resumable: false,
      }),
    ],
    ['asistente'],
  );
  fleet.store.put('op', 'config', config);
  await fleet.startWorkers(ENGINES, {
    service: 'asistente',
    slots: 32,
    backAfterMs: 4000,
    runMs: 60,
    isDeadly: ({headers}) =>
      HAS_TROUBLE && headers['x-greengagecross-prompt-prefix'].includes(DEADLY),
  });
  await fleet.startDaemons(DAEMONS);
  let prompts = 0;
  const callEngine = (label, shared) => {
    prompts += 1;
    const own = `${(0xe4000000 + prompts).toString(16)}:130`;
    return fleet.call(fleet.daemons[prompts % DAEMONS], {
      label,
      method: 'POST',
      path: '/asistente/2f',
      deadlineMs: 10_000,
      body: JSON.stringify({question: prompts}),
      headers: {
        'x-greengagecross-model': 'm',
        'x-greengagecross-token-counts': '1342,80',
        'x-greengagecross-prompt-prefix': [FIRST, shared, own].join(','),
      },
    });
  };
  const timer = setInterval(
    () => void callEngine('sound', SOUND),
    SOUND_INTERVAL_MS,
  );
  await sleep(6000);
  const deadlyIds = new Set();
  for (let at = 0; at < RESENDS; at += 1) {
    const answered = callEngine('deadly', DEADLY);
    await sleep(RESEND_MS);
    deadlyIds.add((await answered).id);
  }
  clearInterval(timer);
  await sleep(1000);
  const crashes = fleet.list('crash');
  const sinceMs = (crashes[4]?.atMs ?? Infinity) + BOUNDS.stable_window_ms;
  const late = fleet
    .list('arrival')
    .filter(({id, atMs}) => deadlyIds.has(id) && atMs > sinceMs);
  await fleet.finish(
    late.length > ALLOWED_REQUESTS,
    `${crashes.length} crashes; ${late.length} requests with the part reached ` +
      `workers later than ${BOUNDS.stable_window_ms} ms after the fifth crash`,
  );
});
