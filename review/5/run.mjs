// One request crashes each worker that runs it and is sent again every two
// seconds. Sound requests keep arriving at the rates of the sheet.
import {
  BOUNDS,
  Fleet,
  HAS_TROUBLE,
  makeConfig,
  makeRoute,
  runScript,
  sleep,
} from '../standins/fleet.mjs';

const DAEMONS = 3;
const WORKERS = 4;
const SOUND_PER_SECOND = 40;
const RESEND_MS = 2000;
const RESENDS = 14;
/** BUDGET: retries that may reach workers after the third crash. */
const ALLOWED_RETRIES = 3;
const DEADLY_PATH = '/reservas/lo20';
const DEADLY_BODY = '{"cloth":"pall-7","date":"2026-12-08"}';

await runScript(async () => {
  const fleet = new Fleet(`${import.meta.dirname}/record.txt`);
  await fleet.store.start();
  const timing = {timeout_ms: 800, target_latency_ms: 100};
  fleet.store.put(
    'op',
    'config',
    makeConfig(
      7,
      [
        makeRoute('reservas', 'unsafe', {...timing, priority: 2}),
        makeRoute('stock', 'safe', {
          ...timing,
          service: 'reservas',
          max_attempts: 2,
          priority: 2,
        }),
      ],
      ['reservas'],
    ),
  );
  await fleet.startWorkers(WORKERS, {
    service: 'reservas',
    slots: 6,
    backAfterMs: 4000,
    isDeadly: ({url, body}) =>
      HAS_TROUBLE && url === DEADLY_PATH && body === DEADLY_BODY,
  });
  await fleet.startDaemons(DAEMONS);
  const choose = at => fleet.daemons[at % DAEMONS];
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    const isSafe = sent % 4 === 0;
    void fleet.call(choose(sent), {
      label: 'sound',
      method: isSafe ? 'GET' : 'POST',
      path: isSafe ? `/stock/p${sent % 30}` : `/reservas/r${sent}`,
      body: isSafe ? '' : `{"n":${sent}}`,
    });
  }, 1000 / SOUND_PER_SECOND);
  await sleep(4000);
  const deadlyIds = new Set();
  for (let at = 0; at < RESENDS; at += 1) {
    const answered = fleet.call(choose(at), {
      label: 'deadly',
      method: 'POST',
      path: DEADLY_PATH,
      body: DEADLY_BODY,
    });
    await sleep(RESEND_MS);
    deadlyIds.add((await answered).id);
  }
  clearInterval(timer);
  await sleep(1000);
  const crashes = fleet.list('crash');
  const thirdAtMs = crashes[2]?.atMs ?? Infinity;
  const sinceMs = thirdAtMs + BOUNDS.stable_window_ms;
  const late = fleet
    .list('arrival')
    .filter(({id, atMs}) => deadlyIds.has(id) && atMs > sinceMs);
  const lost = fleet
    .list('run-end')
    .filter(({id, isWhole}) => !deadlyIds.has(id) && !isWhole);
  await fleet.finish(
    late.length > ALLOWED_RETRIES,
    `${crashes.length} crashes; ${late.length} retries reached workers later ` +
      `than ${BOUNDS.stable_window_ms} ms after the third crash; ` +
      `${lost.length} sound runs were cut by crashes`,
  );
});
