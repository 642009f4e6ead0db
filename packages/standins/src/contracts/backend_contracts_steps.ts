import assert from 'node:assert/strict';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Result} from 'effect';
import {
  HttpEngineClient,
  HttpServiceClient,
  isKnownNotRun,
  type BackendCall,
  type BackendError,
  type BackendFailure,
  type EngineClient,
  type ServiceClient,
} from '@greengagecross/backend';
import {HttpClient, readBody} from '@greengagecross/http';
import {CRASH_MARKER, NO_FAULTS, type StandinFaults} from '../faults.js';
import {StandinKind} from '../standin_kind.js';
import {
  ENGINE_CASES,
  makeCall,
  makeChatBody,
  SERVICE_CASES,
} from './backend_cases.js';
import {BackendProcess} from './backend_process.js';
import {MemoryEngine, MemoryWorker} from './memory_backends.js';

const LIMIT_MS = 2500;
const SLOW_MS = 4 * LIMIT_MS;
const MAX_BYTES = 1024 * 1024;
const NOWHERE = {id: 'backend-1', host: '', port: 1, availabilityZone: 'a'};
const FAULTS: Readonly<Record<string, Partial<StandinFaults>>> = {
  leaving: {leaving: true},
  'losing replies': {loseReplies: true},
  'holding replies': {holdReplies: true},
  'silent on open connections': {silentOpen: true},
  'slower than the limit': {slowMs: SLOW_MS},
};

/** Sends one call and reads all of its reply. */
type Send = (call: BackendCall) => Effect.Effect<unknown, BackendError>;

/** State of one scenario about a backend server's contract. */
interface BackendWorld extends World {
  backend?: BackendProcess;
  engine: EngineClient;
  service: ServiceClient;
  sendCall: Send;
  backendFailure: BackendFailure;
  isMarked: boolean;
}

After(async function (this: BackendWorld) {
  await this.backend?.stop();
});

Given(
  /^the backend contract's (engine|worker) (in memory|over HTTP)$/,
  async function (this: BackendWorld, kind: string, where: string) {
    if (where === 'in memory') {
      this.engine = new MemoryEngine();
      this.service = new MemoryWorker();
      return;
    }
    const isEngine = kind === 'engine';
    this.backend = new BackendProcess(
      isEngine ? StandinKind.ENGINE : StandinKind.WORKER,
    );
    await this.backend.start();
    makeClients(this);
    this.isMarked = false;
    this.sendCall = isEngine
      ? call => sendChat(this, call)
      : call => sendLookup(this, call);
  },
);

Then(
  /^the backend contract holds that it (.+)$/,
  async function (this: BackendWorld, name: string) {
    const server = this.backend?.getServer() ?? NOWHERE;
    const [ofEngine, ofService] = [ENGINE_CASES[name], SERVICE_CASES[name]];
    assert.ok(ofEngine !== undefined || ofService !== undefined, name);
    await ofEngine?.(this.engine, server);
    await ofService?.(this.service, server);
  },
);

When(
  /^it gets a call while it is (.+)$/,
  async function (this: BackendWorld, fault: string) {
    const backend = getBackend(this);
    const server = backend.getServer();
    // The first call leaves a kept connection that the fault falls on.
    await Effect.runPromise(this.sendCall(makeCall(server, 'before')));
    await applyFault(this, fault);
    const call = makeCall(server, 'during');
    const result = await Effect.runPromise(Effect.result(this.sendCall(call)));
    assert.ok(Result.isFailure(result), 'the call succeeded');
    this.backendFailure = result.failure.failure;
    this.isMarked = false;
    if (fault === 'frozen') backend.send('SIGCONT');
    if (fault === 'gone' || fault === 'crashing on its request') {
      await backend.waitEnd();
      await backend.start();
    }
    await backend.setFaults(NO_FAULTS);
  },
);

Then(
  /^the call fails as (\S+) and (has run|has not run|may have run)$/,
  function (this: BackendWorld, failure: string, truth: string) {
    assert.equal(this.backendFailure, failure);
    const hasRun = getBackend(this).hasRun('during');
    if (truth === 'has run') assert.ok(hasRun);
    if (truth === 'has not run') assert.ok(!hasRun);
    // Whoever is told that nothing ran may send the call elsewhere.
    assert.equal(isKnownNotRun(this.backendFailure), truth === 'has not run');
  },
);

Then(
  'the next call of the backend contract succeeds',
  async function (this: BackendWorld) {
    const call = makeCall(getBackend(this).getServer(), 'after');
    await Effect.runPromise(this.sendCall(call));
    assert.ok(getBackend(this).hasRun('after'));
    const isTold = isKnownNotRun(this.backendFailure);
    const hasRun = getBackend(this).hasRun('during');
    assert.ok(!isTold || !hasRun, 'told not run, and run later');
  },
);

async function applyFault(world: BackendWorld, fault: string): Promise<void> {
  const backend = getBackend(world);
  switch (fault) {
    case 'gone':
      backend.send('SIGKILL');
      await backend.waitEnd();
      // A kept connection that closes as it is used leaves the call uncertain.
      makeClients(world);
      return;
    case 'frozen':
      backend.send('SIGSTOP');
      return;
    case 'crashing on its request':
      world.isMarked = true;
      return;
    default: {
      const faults = FAULTS[fault];
      assert.ok(faults !== undefined, `no fault ${fault}`);
      await backend.setFaults(faults);
    }
  }
}

function makeClients(world: BackendWorld): void {
  const client = new HttpClient();
  const timeouts = {connectTimeoutMs: LIMIT_MS, silenceMs: LIMIT_MS};
  world.engine = new HttpEngineClient(client, timeouts);
  world.service = new HttpServiceClient(client, timeouts);
}

function sendChat(
  world: BackendWorld,
  call: BackendCall,
): Effect.Effect<unknown, BackendError> {
  const marked = {messages: [{role: 'user', content: CRASH_MARKER}]};
  const body = world.isMarked
    ? Buffer.from(JSON.stringify(marked))
    : makeChatBody(false);
  return Effect.flatMap(world.engine.open(call, body), reply =>
    Effect.orDie(readBody(reply.stream, MAX_BYTES, call.server.id)),
  );
}

function sendLookup(
  world: BackendWorld,
  call: BackendCall,
): Effect.Effect<unknown, BackendError> {
  const body = Buffer.from('{}');
  const request = {method: 'POST', path: '/x', headers: {}, body};
  return world.service.send(call, request);
}

function getBackend(world: BackendWorld): BackendProcess {
  assert.ok(world.backend !== undefined);
  return world.backend;
}
