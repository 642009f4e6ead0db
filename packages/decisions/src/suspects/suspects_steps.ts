import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {SuspectState} from '@greengagecross/common';
import {SuspectRegistry} from './suspect_registry.js';
import {TrialTable} from './trial_table.js';

const MS_PER_SECOND = 1000;
const TRIAL_MS = 60_000;
const REQUEST = 'request';

/** Fixture of one daemon's suspect registry and trial table. */
interface SuspectWorld extends World {
  registry: SuspectRegistry;
  nowMs: number;
  trials: TrialTable;
  isGranted: boolean;
}

Given(
  'a suspect registry that keeps entries for {int} s',
  function (this: SuspectWorld, seconds: number) {
    this.registry = new SuspectRegistry(seconds * MS_PER_SECOND);
    this.nowMs = 0;
  },
);

When(
  /^these events happen to a request: (.+)$/,
  function (this: SuspectWorld, events: string) {
    for (const event of events.split(', ')) applyEvent(this, event);
  },
);

Then(
  /^the registry holds state (\w+) for the request$/,
  function (this: SuspectWorld, expected: string) {
    const state = this.registry.getState(REQUEST, this.nowMs);
    assert.equal(state ?? 'none', expected);
  },
);

When(
  '{int} requests are condemned and {int} others are suspected',
  function (this: SuspectWorld, condemned: number, suspected: number) {
    for (let index = 0; index < condemned; index += 1) {
      this.registry.recordCrash(`condemned-${index}`, true, this.nowMs);
    }
    for (let index = 0; index < suspected; index += 1) {
      this.registry.recordCrash(`suspect-${index}`, false, this.nowMs);
    }
  },
);

Then(
  'the registry holds {int} entries, {int} of them condemned',
  function (this: SuspectWorld, entries: number, condemned: number) {
    const {registry, nowMs} = this;
    assert.equal(registry.list(nowMs).length, entries);
    assert.equal(registry.count(SuspectState.CONDEMNED, nowMs), condemned);
  },
);

Given(
  'a trial table in which daemon-1 runs trial a of suspect a on engine-1',
  function (this: SuspectWorld) {
    this.trials = new TrialTable();
    assert.ok(requestTrial(this, 'daemon-1', 'a', 'engine-1', 0, true));
  },
);

When(
  /^daemon-2 requests a trial of suspect (\w) on (\S+) while (.+)$/,
  function (
    this: SuspectWorld,
    suspect: string,
    engine: string,
    condition: string,
  ) {
    if (condition === 'trial a is released') this.trials.release('daemon-1 a');
    const nowMs = condition.startsWith('trial a is expired') ? TRIAL_MS : 1;
    const isHolderLive = condition !== 'daemon-1 is not live';
    const isGranted = requestTrial(
      this,
      'daemon-2',
      suspect,
      engine,
      nowMs,
      isHolderLive,
    );
    // An RPC whose reply was lost is sent again and must get the same reply.
    assert.equal(
      requestTrial(this, 'daemon-2', suspect, engine, nowMs, isHolderLive),
      isGranted,
    );
    this.isGranted = isGranted;
  },
);

Then(
  /^the trial is (granted|refused)$/,
  function (this: SuspectWorld, verdict: string) {
    assert.equal(this.isGranted, verdict === 'granted');
  },
);

function applyEvent(world: SuspectWorld, event: string): void {
  const {registry, nowMs} = world;
  const atMs = nowMs;
  switch (event) {
    case 'a crash':
      registry.recordCrash(REQUEST, false, nowMs);
      break;
    case 'a crash in its trial':
      registry.recordCrash(REQUEST, true, nowMs);
      break;
    case 'a completion':
      registry.recordCompleted(REQUEST, nowMs);
      break;
    case 'a refused resend':
      registry.recordRefused(REQUEST, nowMs);
      break;
    case 'an update with state condemned': {
      const state = SuspectState.CONDEMNED;
      registry.merge({fingerprint: REQUEST, state, atMs}, nowMs);
      break;
    }
    case 'an update with state suspect': {
      const state = SuspectState.SUSPECT;
      registry.merge({fingerprint: REQUEST, state, atMs}, nowMs);
      break;
    }
    default:
      assert.match(event, /^\d+ s$/);
      world.nowMs += Number.parseInt(event, 10) * MS_PER_SECOND;
  }
}

function requestTrial(
  world: SuspectWorld,
  holder: string,
  fingerprint: string,
  backend: string,
  nowMs: number,
  isHolderLive: boolean,
): boolean {
  const attemptId = `${holder} ${fingerprint}`;
  const untilMs = nowMs + TRIAL_MS;
  const trial = {fingerprint, backend, holder, attemptId, untilMs};
  return world.trials.acquire(
    trial,
    nowMs,
    id => isHolderLive || id === holder,
  );
}
