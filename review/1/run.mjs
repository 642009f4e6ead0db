// Another writer puts entries that can't be read into the workers' table, one
// for each of its four workers, and writes them as often as a worker does.
import {
  Fleet,
  HAS_TROUBLE,
  PLATFORM,
  makeConfig,
  makeRoute,
  runScript,
  send,
  sleep,
} from '../standins/fleet.mjs';

const DAEMONS = 3;
const TIMEOUT_MS = 800;
/** CONFIG: half a second after the route's `timeout_ms`. */
const LATE_MS = 500;
const SOUND_INTERVAL_MS = 25;
const CALM_MS = 5000;
const TROUBLE_MS = 12_000;
const HEARTBEAT_MS = 1200;
const ENTRIES = 4;
/** So many bytes are `row_bytes` as base64, the stricter reading of the limit. */
const ROW_BYTES = (PLATFORM.row_bytes / 4) * 3;

/** A list of empty names, encoded as JSON twice and cut off at the limit. */
function makeUnreadableBytes(count) {
  const names = Array.from({length: ROW_BYTES + count}, () => '');
  const twice = JSON.stringify(JSON.stringify(names));
  return Buffer.from(twice.slice(0, ROW_BYTES - count));
}

await runScript(async () => {
  const fleet = new Fleet(`${import.meta.dirname}/record.txt`);
  await fleet.store.start();
  fleet.store.put(
    'op',
    'config',
    makeConfig(
      7,
      [makeRoute('reservas', 'unsafe', {timeout_ms: TIMEOUT_MS, priority: 2})],
      ['reservas'],
    ),
  );
  await fleet.startWorkers(4, {
    service: 'reservas',
    slots: 6,
    backAfterMs: 4000,
  });
  await fleet.startDaemons(DAEMONS);
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    void fleet.call(fleet.daemons[sent % DAEMONS], {
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
  await sleep(CALM_MS);
  const endMs = performance.now() + TROUBLE_MS;
  for (let count = 0; performance.now() < endMs; count += 1) {
    if (HAS_TROUBLE) {
      const bytes = makeUnreadableBytes(count);
      for (let at = 1; at <= ENTRIES; at += 1) {
        fleet.store.putBytes('servers', `i-5e0e0e0e0${at}`, bytes);
      }
      fleet.record('entries-written', {bytes: bytes.length});
    }
    await sleep(HEARTBEAT_MS);
  }
  clearInterval(timer);
  clearInterval(readyTimer);
  await sleep(TIMEOUT_MS + LATE_MS + 200);
  const lastMs = fleet.record('end').atMs;
  const answers = new Map(fleet.list('answered').map(e => [e.id, e]));
  const all = fleet.list('sent');
  const waits = all.map(e => (answers.get(e.id)?.atMs ?? lastMs) - e.atMs);
  const due = waits.filter(ms => ms > TIMEOUT_MS).length;
  const late = waits.filter(ms => ms > TIMEOUT_MS + LATE_MS).length;
  await fleet.finish(
    due >= 8 && late > 0.5 * due,
    `${all.length} reservations at ${DAEMONS} machines; unanswered at ` +
      `${TIMEOUT_MS} ms: ${due}; half a second later: ${late}; longest wait ` +
      `${Math.round(Math.max(...waits))} ms`,
  );
});
