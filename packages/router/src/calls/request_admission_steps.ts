import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Effect, Fiber, ManagedRuntime} from 'effect';
import {TestClock} from 'effect/testing';
import {readSteadyMs} from '@greengagecross/common';
import {CallKind} from '../model/call_kind.js';
import {DEFAULT_CALLER_LIMITS} from '../model/caller_limits.js';
import type {Route} from '../model/route.js';
import {FleetStateSource} from '../ports/fleet_state_source.js';
import {FleetState} from '../state/fleet_state.js';
import {CallOutcome} from './call_answer.js';
import {RequestAdmission, type Admission} from './request_admission.js';

/** Source whose replies arrive when the scenario says so. */
class ReceivingSource extends FleetStateSource {
  hasReply = false;

  override run(): Effect.Effect<never> {
    return Effect.never;
  }

  override setFollowing(): void {}

  override isFollowing(): boolean {
    return true;
  }

  override isReceiving(): boolean {
    return this.hasReply;
  }

  override readConfiguration(): Effect.Effect<void> {
    return Effect.void;
  }
}

type AdmissionFiber = Fiber.Fiber<Admission | CallOutcome>;

/** World with the admission of one daemon and the requests that arrived. */
interface AdmissionWorld {
  admissionState: FleetState;
  source: ReceivingSource;
  admission: RequestAdmission;
  clientTimeoutMs: number | undefined;
  fibers: AdmissionFiber[];
  admissionRuntime:
    ManagedRuntime.ManagedRuntime<TestClock.TestClock, never> | undefined;
}

function makeRoute(pathPrefix: string): Route {
  return {
    name: pathPrefix,
    host: 'shop.example',
    pathPrefix,
    kind: CallKind.IDEMPOTENT,
    services: [{service: 's', weight: 1}],
    timeoutMs: 1000,
    objectiveMs: 100,
    maxAttempts: 1,
    priority: 1,
    isPublic: false,
    isResumable: false,
  };
}

function setConfiguration(
  {admissionState}: AdmissionWorld,
  version: number,
  paths: readonly string[],
  keys: readonly string[],
  nowMs = readSteadyMs(),
): void {
  admissionState.configuration.set(
    {
      version,
      routes: paths.map(makeRoute),
      services: [],
      limits: DEFAULT_CALLER_LIMITS,
      customers: [{name: 'c', keys}],
    },
    nowMs,
  );
}

function startAdmission(world: AdmissionWorld, confirmedAtMs?: number): void {
  world.fibers = [];
  world.clientTimeoutMs = undefined;
  world.admissionRuntime = ManagedRuntime.make(TestClock.layer());
  world.source = new ReceivingSource();
  world.admissionState = new FleetState();
  const {admissionState: state, source} = world;
  state.backends.setAll([], {era: 0, revision: 1, changeRevision: 1}, 0);
  state.evacuated.setLearned();
  setConfiguration(world, 4, ['/a/'], ['k1'], confirmedAtMs);
  world.admission = new RequestAdmission(state, source, () => false);
}

async function sendRequests(
  world: AdmissionWorld,
  count: number,
  path: string,
  apiKey: string,
): Promise<void> {
  const address = {host: 'shop.example', path, apiKey};
  for (let at = 0; at < count; at += 1) {
    const effect = world.admission.check(address, () => world.clientTimeoutMs);
    const fiber = world.admissionRuntime?.runFork(effect);
    assert.ok(fiber);
    world.fibers.push(fiber);
  }
  await waitOnClock(world, 0);
}

async function waitOnClock(world: AdmissionWorld, ms: number): Promise<void> {
  await world.admissionRuntime?.runPromise(TestClock.adjust(ms));
}

/** Takes the results that there are; the other requests still wait. */
async function takeResults(world: AdmissionWorld): Promise<string[]> {
  await waitOnClock(world, 0);
  const results: string[] = [];
  world.fibers = world.fibers.filter(fiber => {
    const exit = fiber.pollUnsafe();
    if (exit === undefined) return true;
    assert.equal(exit._tag, 'Success');
    const result = exit._tag === 'Success' ? exit.value : '';
    results.push(typeof result === 'string' ? result : 'admitted');
    return false;
  });
  return results;
}

Given(
  /^admission by configuration 4, while a peer (?:advertises|has advertised) 5(?: for (\d+) ms)?$/,
  function (this: AdmissionWorld, forMs: string | null) {
    startAdmission(this);
    const sinceMs = readSteadyMs() - Number(forMs ?? 0);
    this.admissionState.configuration.advertised.record(5, sinceMs);
  },
);

Given(
  'admission by configuration 4, while a reply of the store arrives',
  function (this: AdmissionWorld) {
    startAdmission(this);
    this.source.hasReply = true;
  },
);

Given(
  'admission by configuration 4, confirmed {int} ms ago',
  function (this: AdmissionWorld, ageMs: number) {
    startAdmission(this, readSteadyMs() - ageMs);
  },
);

Given(
  'clients wait {int} ms for an answer',
  function (this: AdmissionWorld, timeoutMs: number) {
    this.clientTimeoutMs = timeoutMs;
  },
);

When(
  'a request for {string} with the key {string} arrives',
  function (this: AdmissionWorld, path: string, key: string) {
    return sendRequests(this, 1, path, key);
  },
);

When(
  '{int} request(s) for {string} with the key {string} arrive(s)',
  function (this: AdmissionWorld, count: number, path: string, key: string) {
    return sendRequests(this, count, path, key);
  },
);

When('their clients leave', async function (this: AdmissionWorld) {
  for (const fiber of this.fibers.splice(0)) {
    await Effect.runPromise(Fiber.interrupt(fiber));
  }
});

When(
  'configuration 5 with the path {string} and the key {string} becomes active',
  function (this: AdmissionWorld, path: string, key: string) {
    setConfiguration(this, 5, ['/a/', path], ['k1', key]);
  },
);

When('the peer that advertises 5 stops', function (this: AdmissionWorld) {
  const {advertised} = this.admissionState.configuration;
  advertised.keepAdvertised([4], readSteadyMs());
});

When(
  '{int} ms pass for admission',
  function (this: AdmissionWorld, ms: number) {
    return waitOnClock(this, ms);
  },
);

When(
  'the reply has arrived and {int} ms pass for admission',
  function (this: AdmissionWorld, ms: number) {
    this.source.hasReply = false;
    return waitOnClock(this, ms);
  },
);

Then('no request has a result', async function (this: AdmissionWorld) {
  assert.deepEqual(await takeResults(this), []);
  assert.ok(this.fibers.length > 0);
});

Then(
  'the result of {int} request(s) is {string}',
  async function (this: AdmissionWorld, count: number, result: string) {
    const results = await takeResults(this);
    assert.deepEqual(results, new Array(count).fill(result));
  },
);

Then(
  '{int} refusals in turn give {int} delays from {int} to {int} ms',
  function (
    this: AdmissionWorld,
    count: number,
    different: number,
    leastMs: number,
    mostMs: number,
  ) {
    const delays = Array.from({length: count}, () =>
      this.admission.computeRetryMs(CallOutcome.OUTDATED),
    );
    assert.equal(new Set(delays).size, different);
    assert.equal(Math.min(...delays), leastMs);
    assert.equal(Math.max(...delays), mostMs);
  },
);

After(async function (this: AdmissionWorld) {
  await this.admissionRuntime?.dispose();
});
