// Sends many requests, each inside the limits, and watches the daemon's memory.
import {Agent} from 'node:http';
import {
  Daemon,
  makeDesiredState,
  makeEntry,
  Record,
  send,
  waitMs,
} from './fleet.mjs';
import {Store} from './store.mjs';
import {Worker} from './worker.mjs';

/** Memory of the smallest machine of the deployment velo-mx. */
const MEMORY_MB = 350;
const MAX_FDS = 4200;
const REQUESTS = 30_000;
const MAX_MS = 75_000;
const REQUESTS_PER_LINE = 2000;
const REQUESTS_PER_CHECK = 100;

/**
 * Runs a case to its end and ends this process: with 1 if the daemon took more
 * memory than its machine has, 0 if not, 2 if the case could not run.
 *
 * @param recordPath path of the case's `record.txt`
 * @param kind kind of the route
 * @param connections connections of the client
 * @param workMs time that a worker takes for a request
 * @param makeCall makes request number N
 */
export async function runMemoryCase({
  recordPath,
  kind,
  connections,
  workMs,
  makeCall,
}) {
  const record = new Record(recordPath);
  const store = new Store();
  const workers = ['i-1', 'i-2'].map(id => new Worker(id));
  let daemon;
  let code = 2;
  try {
    const address = await store.start();
    for (const worker of workers) {
      worker.workMs = workMs;
      store.put('servers', worker.id, makeEntry('app', await worker.start()));
    }
    store.put('op', 'config', makeDesiredState(7, {app: kind}));
    daemon = await Daemon.start(address, {
      limits: {memory_mb: MEMORY_MB, max_fds: MAX_FDS},
    });
    await daemon.waitInTouch();
    code = await sendAll({record, daemon, workers, connections, makeCall});
  } catch (error) {
    record.write(`could not run: ${error.stack}`);
  } finally {
    await daemon?.stop();
    for (const worker of workers) worker.stop();
    store.stop();
  }
  record.write(`exit ${code}`);
  process.exit(code);
}

async function sendAll({record, daemon, workers, connections, makeCall}) {
  const limitBytes = MEMORY_MB * 1024 * 1024;
  const agent = new Agent({keepAlive: true, maxSockets: connections});
  const statuses = new Map();
  const startMs = performance.now();
  let sent = 0;
  let peakBytes = 0;
  let isOver = false;
  const readPeak = () => {
    peakBytes = daemon.readMemory('VmHWM') || peakBytes;
    isOver = peakBytes > limitBytes || !daemon.isRunning();
  };
  const describe = () => `${toMb(daemon.readMemory('VmRSS'))} MB resident`;
  record.write(`the daemon is ready, ${describe()}`);
  record.write(`request 1: ${describeCall(makeCall(1))}`);
  const runClient = async () => {
    while (!isOver && sent < REQUESTS) {
      if (performance.now() - startMs > MAX_MS) return;
      sent += 1;
      const number = sent;
      const {host, ports} = daemon;
      const answer = await send(host, ports.front, {
        ...makeCall(number),
        agent,
      });
      statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
      if (number % REQUESTS_PER_LINE === 0) {
        record.write(`${number} requests sent, ${describe()}`);
      }
      if (number % REQUESTS_PER_CHECK === 0) readPeak();
    }
  };
  await Promise.all(Array.from({length: connections}, runClient));
  readPeak();
  agent.destroy();
  await waitMs(2000);
  const runs = workers.map(({id, runCount}) => `${id}: ${runCount}`);
  record.write(`${sent} requests sent over ${connections} connections`);
  record.write(`answers by status: ${JSON.stringify([...statuses])}`);
  record.write(`requests run by worker: ${runs.join(', ')}`);
  record.write(
    `peak ${toMb(peakBytes)} MB of ${toMb(limitBytes)} MB (memory_mb ${MEMORY_MB}); ` +
      `2 s after the last answer ${describe()}`,
  );
  return isOver ? 1 : 0;
}

function toMb(bytes) {
  return Math.round(bytes / 1e6);
}

function describeCall({method = 'GET', path, headers}) {
  const entries = Object.entries(headers);
  const lines = entries.map(([name, value]) =>
    value.length > 40
      ? `${name}: ${value.slice(0, 12)}... (${value.length} characters)`
      : `${name}: ${value}`,
  );
  const bytes = entries.reduce(
    (sum, [name, value]) => sum + name.length + value.length + 4,
    0,
  );
  return `${method} ${path}, ${bytes} bytes of headers; ${lines.join('; ')}`;
}
