// A prompt part crashes each engine that begins to answer it. The caller's
// sound prompts share the other part of the same prompts.
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
const OTHER_KEY = 'anfqasnmgkcuyj8pjbvk';
const SHARED = '91bd3f06:700';
const DEADLY = '5c1e07a2:512';
const SOUND_FIRST = '77aa0001:512';
const SOUND_INTERVAL_MS = 1400;
const OTHER_PER_SECOND = 30;
const BASELINE_REQUESTS = 22;
const RESEND_MS = 2000;
/** LOST: from this long after the last crash. */
const SETTLE_MS = 2 * BOUNDS.stable_window_ms;
const COUNTED_REQUESTS = 22;

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
  config.tenants.push({name: 'zume112', api_keys: [OTHER_KEY], priority: 1});
  fleet.store.put('op', 'config', config);
  await fleet.startWorkers(ENGINES, {
    service: 'asistente',
    slots: 32,
    backAfterMs: 4000,
    runMs: 60,
    isDeadly: ({headers}) =>
      HAS_TROUBLE &&
      headers['x-greengagecross-prompt-prefix'].startsWith(DEADLY),
  });
  await fleet.startDaemons(DAEMONS);
  let prompts = 0;
  const callEngine = (daemon, label, parts, headers = {}) => {
    prompts += 1;
    const own = `${(0xe4000000 + prompts).toString(16)}:130`;
    return fleet.call(daemon, {
      label,
      method: 'POST',
      path: '/asistente/2f',
      deadlineMs: 10_000,
      body: JSON.stringify({question: prompts}),
      headers: {
        'x-greengagecross-model': 'm',
        'x-greengagecross-token-counts': '1342,80',
        'x-greengagecross-prompt-prefix': [...parts, own].join(','),
        ...headers,
      },
    });
  };
  // Another caller's prompts keep all engines busy.
  let others = 0;
  const otherTimer = setInterval(() => {
    others += 1;
    const daemon = fleet.daemons[others % DAEMONS];
    const parts = [
      '2b2b0001:300',
      `2b2b1${String(others % 40).padStart(3, '0')}:600`,
    ];
    void callEngine(daemon, 'other', parts, {
      'x-greengagecross-credential': OTHER_KEY,
    });
  }, 1000 / OTHER_PER_SECOND);
  let sound = 0;
  const sendSound = async label => {
    const daemon = fleet.daemons[sound % DAEMONS];
    sound += 1;
    const {status} = await callEngine(daemon, label, [SOUND_FIRST, SHARED]);
    return status === 200;
  };
  let isBaseline = true;
  let counted = false;
  const soundTimer = setInterval(() => {
    const label = isBaseline
      ? 'sound before'
      : counted
        ? 'sound after'
        : 'sound';
    void sendSound(label);
  }, SOUND_INTERVAL_MS);
  await sleep(BASELINE_REQUESTS * SOUND_INTERVAL_MS + 300);
  isBaseline = false;
  // The next daemon in turn answered a sound prompt of this caller longest ago.
  const daemon = fleet.daemons[sound % DAEMONS];
  for (let at = 0; at < 3; at += 1) {
    await callEngine(daemon, 'deadly', [DEADLY, SHARED]);
  }
  let isDone = false;
  const resend = (async () => {
    for (let at = 0; !isDone; at += 1) {
      await sleep(RESEND_MS);
      await callEngine(fleet.daemons[at % DAEMONS], 'deadly', [DEADLY, SHARED]);
    }
  })();
  for (;;) {
    const crashes = fleet.list('crash').slice(0, 5);
    const lastMs = crashes.at(-1)?.atMs ?? fleet.list('sent').at(-1).atMs;
    const nowMs = fleet.record('check').atMs;
    if (nowMs > lastMs + SETTLE_MS || crashes.length === 0) break;
    await sleep(200);
  }
  counted = true;
  await sleep(COUNTED_REQUESTS * SOUND_INTERVAL_MS + 200);
  isDone = true;
  await resend;
  clearInterval(soundTimer);
  clearInterval(otherTimer);
  await sleep(500);
  const share = label => {
    const answers = fleet.list('answered').filter(e => e.label === label);
    const begun = answers.filter(({status}) => status === 200).length;
    return {begun, all: answers.length};
  };
  const before = share('sound before');
  const after = share('sound after');
  const isBroken =
    before.all >= 20 &&
    after.all >= 20 &&
    after.begun / after.all < 0.5 * (before.begun / before.all);
  await fleet.finish(
    isBroken,
    `${fleet.list('crash').length} crashes; sound prompts of the caller begun ` +
      `before: ${before.begun} of ${before.all}; from ${SETTLE_MS} ms after ` +
      `the last crash: ${after.begun} of ${after.all}`,
  );
});
