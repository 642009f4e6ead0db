// Starts daemons by the command of the deploy file, on loopback addresses.
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'node:http';

/** A script ends after this time in any case. */
const MAX_RUN_MS = 112_000;
setTimeout(() => {
  console.error('not ended in time');
  // The guards end the daemons.
  process.exit(2);
}, MAX_RUN_MS).unref();
for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
  process.on(signal, () => process.exit(2));
}

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Writes lines to the record of a case, and to standard output. */
export class Record {
  /** @param path of the case's `record.txt` */
  constructor(path) {
    this.path = path;
    this.startMs = performance.now();
    writeFileSync(this.path, '');
  }

  write(text) {
    const seconds = ((performance.now() - this.startMs) / 1000).toFixed(1);
    const line = `${seconds.padStart(6)} s  ${text}`;
    appendFileSync(this.path, `${line}\n`);
    console.log(line);
  }
}

export function waitMs(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Reads the command of a role from the deploy file. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const match = /^run = "([^"]+)"$/m.exec(text);
  if (match === null) throw new Error('the deploy file has no command');
  return match[1].split(' ');
}

async function findFreePort(host) {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** One daemon in a process of its own. */
export class Daemon {
  static #count = 0;

  /** @param overrides fields of the settings that differ from the usual ones */
  static async start(storeAddress, overrides = {}) {
    const daemon = new Daemon();
    Daemon.#count += 1;
    daemon.host = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}.${Daemon.#count}`;
    daemon.name = `edge-${Daemon.#count}`;
    const ports = {};
    for (const name of ['front', 'ready', 'control', 'directory', 'beat']) {
      ports[name] = await findFreePort(daemon.host);
    }
    daemon.ports = ports;
    daemon.folder = mkdtempSync(join(tmpdir(), 'review-'));
    const at = name => `${daemon.host}:${ports[name]}`;
    daemon.settings = {
      node_name: daemon.name,
      role: 'router',
      machine_class: 'edge',
      serves: ['edge', 'directory', 'control_plane'],
      ip: daemon.host,
      zone: 'centro-a',
      region: 'centro',
      port_range: [ports.beat, ports.beat],
      seeds: [],
      listen: {
        front: at('front'),
        ready: at('ready'),
        control: at('control'),
        directory: at('directory'),
      },
      limits: {memory_mb: 350, max_fds: 4200},
      bounds: {
        stable_window_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        retry_budget_ratio: 0.2,
        retry_slack: 52,
        budget_window_s: 10,
      },
      platform: {address: storeAddress},
      ...overrides,
    };
    daemon.path = join(daemon.folder, 'node.json');
    writeFileSync(daemon.path, JSON.stringify(daemon.settings));
    daemon.launch();
    return daemon;
  }

  /** Starts the process, also again after it has ended. */
  launch() {
    const [command, ...words] = readRunCommand();
    const {PATH, HOME} = process.env;
    this.log = '';
    this.child = spawn(command, words, {
      cwd: ROOT,
      env: {PATH, HOME, GREENGAGECROSS_NODE_FILE: this.path},
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const guard = join(ROOT, 'review', 'standins-2', 'guard.mjs');
    this.guard = spawn(
      process.execPath,
      [guard, String(this.child.pid), this.folder],
      {stdio: ['pipe', 'ignore', 'inherit'], detached: true},
    );
    this.child.stdout.on('data', chunk => {
      this.log = (this.log + chunk).slice(-1_000_000);
    });
  }

  isRunning() {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Reads a line of the process's status, in bytes; 0 once it has ended. */
  readMemory(name) {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      const match = new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(text);
      return Number(match?.[1] ?? 0) * 1024;
    } catch {
      return 0;
    }
  }

  /** Asks the readiness address; returns the status, 0 without an answer. */
  async askReady(timeoutMs = 1000) {
    const answer = await send(this.host, this.ports.ready, {
      path: '/ready',
      timeoutMs,
    });
    return answer.status;
  }

  async waitReady(timeoutMs = 15_000) {
    const endMs = performance.now() + timeoutMs;
    while ((await this.askReady()) !== 200) {
      if (performance.now() > endMs || !this.isRunning()) {
        throw new Error(`${this.name} isn't ready`);
      }
      await waitMs(50);
    }
  }

  /** Waits until the daemon is ready and then in touch. */
  async waitInTouch() {
    await this.waitReady();
    await waitMs(this.settings.bounds.stable_window_ms + 500);
  }

  async stop() {
    if (this.isRunning()) {
      const ended = new Promise(resolve => this.child.once('exit', resolve));
      this.child.kill('SIGKILL');
      await ended;
    }
    const guarded = new Promise(resolve => this.guard.once('exit', resolve));
    this.guard.stdin.end('stopped');
    await guarded;
  }
}

/** Sends a request; never rejects. Status 0 means that no answer came. */
export function send(host, port, options) {
  return new Promise(resolve => {
    const {path, method = 'GET', headers = {}, body, agent = false} = options;
    const startedAtMs = performance.now();
    let status = 0;
    let text = '';
    let isComplete = false;
    const clientRequest = request(
      {host, port, path, method, headers, agent},
      answer => {
        status = answer.statusCode;
        answer.on('data', chunk => (text += chunk));
        answer.on('end', () => {
          isComplete = answer.complete;
          finish(undefined, answer.headers);
        });
        answer.on('error', finish);
      },
    );
    const timer = setTimeout(
      () => clientRequest.destroy(new Error('no answer in time')),
      options.timeoutMs ?? 5000,
    );
    const finish = (error, answered = {}) => {
      clearTimeout(timer);
      const afterMs = performance.now() - startedAtMs;
      const cause = error?.code ?? error?.message;
      resolve({status, headers: answered, text, isComplete, afterMs, cause});
    };
    clientRequest.on('error', finish);
    clientRequest.end(body);
  });
}

/** Makes a desired state with one route to each service that is named. */
export function makeDesiredState(version, kinds) {
  return {
    version,
    routes: Object.entries(kinds).map(([name, kind]) => ({
      name: `r-${name}`,
      host: 'ficu95.example',
      path_prefix: `/${name}/`,
      kind,
      timeout_ms: kind === 'streaming' ? 10_000 : 800,
      target_latency_ms: kind === 'streaming' ? 250 : 121,
      priority: 1,
      service: name,
      max_attempts: kind === 'unsafe' ? 1 : 2,
      public: false,
      sticky: kind === 'streaming',
      ...(kind === 'streaming' ? {resumable: true, gap_aim_ms: 250} : {}),
    })),
    services: Object.keys(kinds).map(name => ({
      name,
      health_path: '/health',
      max_conns: 230,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4194304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [
      {name: 'hule930', api_keys: ['n2ctnfzs989anu6wsjnb'], priority: 1},
    ],
  };
}

/** Makes the entry of a worker in the store. */
export function makeEntry(service, address, overrides = {}) {
  return {
    service,
    address,
    zone: 'centro-a',
    version: 1,
    slots: 32,
    state: 'ready',
    cold_left_ms: 0,
    call_seq: 0,
    born: 1_700_000_000_000,
    ...overrides,
  };
}

/** Headers of a requester. */
export function makeHeaders(id, overrides = {}) {
  return {
    host: 'ficu95.example',
    'x-greengagecross-attempt-id': id,
    'x-greengagecross-deadline-ms': '10000',
    'x-greengagecross-credential': 'n2ctnfzs989anu6wsjnb',
    ...overrides,
  };
}
