import assert from 'node:assert/strict';
import {spawn, spawnSync, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createInterface} from 'node:readline';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {findFreePorts, RESERVATIONS_FOLDER} from './free_ports.js';
import {PortReservations} from './port_reservations.js';

const FIRST_PORT = 11_000;

/** World with the reservations of two processes in one folder. */
interface PortWorld extends World {
  portFolder: string | undefined;
  owner: PortReservations;
  ports: readonly number[];
  /** Ports on which a server of this process began to listen. */
  boundPorts: number[];
}

function acquirePorts(
  world: PortWorld,
  processId: number,
  count: number,
): void {
  world.portFolder = mkdtempSync(join(tmpdir(), 'ports-'));
  world.owner = new PortReservations(world.portFolder, processId);
  world.ports = Array.from({length: count}, (unused, at) => FIRST_PORT + at);
  for (const port of world.ports) assert.ok(world.owner.acquire(port));
}

function makeOther(world: PortWorld): PortReservations {
  assert.ok(world.portFolder);
  return new PortReservations(world.portFolder);
}

Given(
  'a running process that has found {int} ports and listens on none',
  function (this: PortWorld, count: number) {
    acquirePorts(this, process.ppid, count);
  },
);

Given(
  'a process that found {int} ports and ended without releasing them',
  function (this: PortWorld, count: number) {
    const {pid} = spawnSync(process.execPath, ['--version']);
    acquirePorts(this, pid, count);
  },
);

Given(
  "a running process has reserved the next {int} ports of this process's search",
  async function (this: PortWorld, count: number) {
    const [last = 0] = await findFreePorts(1);
    this.owner = new PortReservations(RESERVATIONS_FOLDER, process.ppid);
    for (let at = 1; at <= count; at += 1) this.owner.acquire(last + at);
  },
);

When('this process finds a port', async function (this: PortWorld) {
  const listen = Server.prototype.listen;
  this.boundPorts = [];
  const record = (port: number): void => void this.boundPorts.push(port);
  Server.prototype.listen = function (this: Server, ...args: unknown[]) {
    record(Number(args[0]));
    return Reflect.apply(listen, this, args) as Server;
  };
  try {
    this.ports = await findFreePorts(1);
  } finally {
    Server.prototype.listen = listen;
    this.owner.releaseAll();
  }
});

Then('it has bound no port but that', function (this: PortWorld) {
  assert.deepEqual(this.boundPorts, this.ports);
});

When('it releases its ports', function (this: PortWorld) {
  this.owner.releaseAll();
});

Then(
  'another process does not reserve any of these ports',
  function (this: PortWorld) {
    const other = makeOther(this);
    for (const port of this.ports) assert.equal(other.acquire(port), false);
  },
);

Then('the process itself still has them', function (this: PortWorld) {
  for (const port of this.ports) assert.ok(this.owner.acquire(port));
});

Then(
  'another process reserves each of these ports',
  function (this: PortWorld) {
    const other = makeOther(this);
    for (const port of this.ports) assert.ok(other.acquire(port));
  },
);

/** Reserves ports, prints those that it got, and runs until it is ended. */
const RESERVING_SCRIPT = `
  const [url, folder, count, startMs] = process.argv.slice(1);
  const {PortReservations} = await import(url);
  const reservations = new PortReservations(folder);
  while (Date.now() < Number(startMs));
  const ports = [];
  for (let port = 1; port <= Number(count); port += 1) {
    if (reservations.acquire(port)) ports.push(port);
  }
  console.log(JSON.stringify(ports));
  setTimeout(() => undefined, 60_000);
`;

async function startReserving(
  folder: string,
  count: number,
  startMs: number,
): Promise<{ports: number[]; child: ChildProcess}> {
  const url = new URL('./port_reservations.js', import.meta.url).href;
  const child = spawn(
    process.execPath,
    [
      '--input-type=module',
      '-e',
      RESERVING_SCRIPT,
      url,
      folder,
      String(count),
      String(startMs),
    ],
    {stdio: ['ignore', 'pipe', 'inherit']},
  );
  for await (const line of createInterface({input: child.stdout})) {
    return {ports: JSON.parse(line) as number[], child};
  }
  throw new Error('the process ended early');
}

When(
  '{int} processes reserve the same {int} ports at the same time',
  async function (this: PortWorld, processes: number, count: number) {
    const folder = mkdtempSync(join(tmpdir(), 'ports-'));
    this.portFolder = folder;
    const startMs = Date.now() + 500;
    const started = await Promise.all(
      Array.from({length: processes}, () =>
        startReserving(folder, count, startMs),
      ),
    );
    this.ports = started.flatMap(({ports}) => ports);
    for (const {child} of started) child.kill();
  },
);

Then(
  'each of the {int} ports is reserved by one of them',
  function (this: PortWorld, count: number) {
    assert.equal(new Set(this.ports).size, count);
    assert.equal(this.ports.length, count);
  },
);

After(function (this: PortWorld) {
  if (this.portFolder !== undefined) rmSync(this.portFolder, {recursive: true});
});
