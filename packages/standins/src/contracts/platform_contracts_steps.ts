import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit, Result, Scope} from 'effect';
import type {Address} from '@greengagecross/common';
import {findFreePorts, HttpClient} from '@greengagecross/http';
import {
  HostRole,
  HostState,
  HttpHostListSource,
  HttpObjectStore,
  HttpTableService,
  HttpWeightStore,
  PlatformClient,
  type Host,
  type HostList,
  type ObjectStore,
  type TableService,
  type WeightStore,
} from '@greengagecross/platform';
import {NO_FAULTS, type StandinFaults} from '../faults.js';
import {PlatformServer} from '../platform/platform_server.js';
import {WEIGHT_CASES} from './backend_cases.js';
import {makeWrite, OBJECT_CASES, TABLE_CASES} from './contract_cases.js';
import {MemoryWeights} from './memory_backends.js';
import {MemoryObjects, MemoryTable} from './memory_platform.js';

/** Time limit of the calls in the contract scenarios. */
export const LIMIT_MS = 400;
const SLOW_MS = 1200;
const ROW = 'contract/row';
const FAULTS: Readonly<Record<string, Partial<StandinFaults>>> = {
  down: {down: true},
  'slower than the limit': {slowMs: SLOW_MS},
  'losing replies': {loseReplies: true},
  'silent on open connections': {silentOpen: true},
  'not listening': {},
};

/** State of one scenario about the platform's contract. */
export interface ContractWorld extends World {
  contractTable?: TableService;
  contractObjects?: ObjectStore;
  contractWeights?: WeightStore;
  platformServer?: PlatformServer;
  serverScope?: Scope.Closeable;
  address: Address;
  failure: string;
  lists: HostList[];
  readBytes: number[];
}

After(async function (this: ContractWorld) {
  if (this.serverScope === undefined) return;
  await Effect.runPromise(Scope.close(this.serverScope, Exit.void));
});

Given(
  /^the platform contract's (table service|object store|weight store) (in memory|over HTTP)$/,
  async function (this: ContractWorld, kind: string, where: string) {
    if (where === 'in memory') {
      this.contractTable = new MemoryTable();
      this.contractObjects = new MemoryObjects();
      this.contractWeights = new MemoryWeights();
      return;
    }
    await startServer(this);
    const caller = makeCaller(this);
    this.contractTable = new HttpTableService(caller);
    this.contractObjects = new HttpObjectStore(caller);
    this.contractWeights = new HttpWeightStore(caller);
  },
);

Then(
  /^the contract holds that it (.+)$/,
  async function (this: ContractWorld, name: string) {
    assert.ok(this.contractTable !== undefined);
    assert.ok(this.contractObjects !== undefined);
    assert.ok(this.contractWeights !== undefined);
    await TABLE_CASES[name]?.(this.contractTable);
    await OBJECT_CASES[name]?.(this.contractObjects);
    await WEIGHT_CASES[name]?.(this.contractWeights);
    const cases = {...TABLE_CASES, ...OBJECT_CASES, ...WEIGHT_CASES};
    assert.ok(name in cases, `no case ${name}`);
  },
);

When(
  /^a row is written while the platform is (.+)$/,
  async function (this: ContractWorld, fault: string) {
    assert.ok(this.contractTable !== undefined && fault in FAULTS);
    // A kept connection that closes as it is used leaves the call uncertain.
    if (fault === 'not listening') await stopServer(this);
    else await Effect.runPromise(this.contractTable.read([ROW]));
    this.platformServer?.gate.set(FAULTS[fault] ?? {});
    const result = await Effect.runPromise(
      Effect.result(this.contractTable.transact(makeWrite(ROW, 'one'))),
    );
    assert.ok(Result.isFailure(result));
    this.failure = result.failure.failure;
    // What is still under way at the platform takes effect meanwhile.
    await sleep(SLOW_MS);
    if (fault === 'not listening') await startServer(this, this.address);
    this.platformServer?.gate.set(NO_FAULTS);
  },
);

Then(
  /^the write fails as (\w+) and has (no effect|taken effect)$/,
  async function (this: ContractWorld, failure: string, effect: string) {
    assert.equal(this.failure, failure);
    const rows = await Effect.runPromise(
      new HttpTableService(makeCaller(this)).read([ROW]),
    );
    assert.equal(rows.length, effect === 'no effect' ? 0 : 1);
  },
);

Then(
  'the next write succeeds once the fault is over',
  async function (this: ContractWorld) {
    assert.ok(this.contractTable !== undefined);
    const result = await Effect.runPromise(
      this.contractTable.transact(makeWrite(ROW, 'two')),
    );
    assert.ok(result.committed);
  },
);

When(
  /^a size is asked while the weight store is (.+)$/,
  async function (this: ContractWorld, fault: string) {
    assert.ok(this.contractWeights !== undefined && fault in FAULTS);
    if (fault === 'not listening') await stopServer(this);
    else await Effect.runPromise(this.contractWeights.getSize('m', '1'));
    this.platformServer?.gate.set(FAULTS[fault] ?? {});
    const result = await Effect.runPromise(
      Effect.result(this.contractWeights.getSize('m', '1')),
    );
    assert.ok(Result.isFailure(result));
    this.failure = result.failure.failure;
    if (fault === 'not listening') await startServer(this, this.address);
    this.platformServer?.gate.set(NO_FAULTS);
  },
);

Then(
  /^the asking fails as (\w+)$/,
  function (this: ContractWorld, failure: string) {
    assert.equal(this.failure, failure);
  },
);

Then(
  'the next size is given once the fault is over',
  async function (this: ContractWorld) {
    const weights = new HttpWeightStore(makeCaller(this));
    const bytes = await Effect.runPromise(weights.getSize('m', '1'));
    assert.ok(bytes !== undefined && bytes > 0);
  },
);

Given(
  "the platform contract's host list over HTTP with a lag of {int} ms",
  async function (this: ContractWorld, lagMs: number) {
    await startServer(this);
    await sleep(lagMs);
    this.platformServer?.gate.set({lagMs});
  },
);

When(
  'the list is changed and read at once and after the lag',
  async function (this: ContractWorld) {
    const directory = new HttpHostListSource(makeCaller(this));
    this.platformServer?.setHosts([]);
    const first = await Effect.runPromise(directory.fetch());
    await sleep(this.platformServer?.gate.getFaults().lagMs ?? 0);
    this.lists = [first, await Effect.runPromise(directory.fetch())];
  },
);

Then(
  'the first reading shows the old list and the second the new one',
  function (this: ContractWorld) {
    assert.deepEqual(
      this.lists.map(list => list.version),
      [1, 2],
    );
  },
);

When(
  'a list of {int} hosts is read twice and once more after a change',
  async function (this: ContractWorld, count: number) {
    const client = new HttpClient();
    const caller = new PlatformClient(client, this.address, LIMIT_MS);
    const directory = new HttpHostListSource(caller);
    const hosts = Array.from({length: count}, (unused, index) =>
      makeHost(`entry-${index}`),
    );
    this.lists = [];
    this.readBytes = [];
    for (const shown of [hosts, undefined, hosts.slice(1)]) {
      if (shown !== undefined) this.platformServer?.setHosts(shown);
      const bytes = client.pool.bytes.count();
      this.lists.push(await Effect.runPromise(directory.fetch()));
      this.readBytes.push(client.pool.bytes.count() - bytes);
    }
    client.close();
  },
);

Then(
  'the second reading costs a tenth of the first at most',
  function (this: ContractWorld) {
    const [first = 0, second = Infinity] = this.readBytes;
    assert.ok(second * 10 <= first, `${first}, then ${second} bytes`);
    assert.equal(this.lists[1]?.hosts.length, this.lists[0]?.hosts.length);
  },
);

Then('the third shows the change', function (this: ContractWorld) {
  const [first, unused, third] = this.lists;
  assert.equal(third?.hosts.length, (first?.hosts.length ?? 0) - 1);
});

/** Makes a host list item of a daemon. */
export function makeHost(id: string): Host {
  return {
    id,
    role: HostRole.ENTRY,
    state: HostState.LIVE,
    region: 'centro',
    availabilityZone: 'centro-a',
    host: '127.0.0.1',
    port: 1,
    controlPort: 2,
  };
}

function makeCaller(world: ContractWorld): PlatformClient {
  return new PlatformClient(new HttpClient(), world.address, LIMIT_MS);
}

async function startServer(
  world: ContractWorld,
  address?: Address,
): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  world.address = address ?? {host: '127.0.0.1', port};
  world.platformServer = new PlatformServer(world.address);
  world.serverScope = Scope.makeUnsafe();
  await Effect.runPromise(
    Scope.provide(world.platformServer.start(), world.serverScope),
  );
}

async function stopServer(world: ContractWorld): Promise<void> {
  if (world.serverScope === undefined) return;
  await Effect.runPromise(Scope.close(world.serverScope, Exit.void));
}
