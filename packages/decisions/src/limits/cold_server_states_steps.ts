import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {ColdServerStates} from './cold_server_states.js';

const ID = 's';
/** Time after which a connection attempt is given up. */
const CONNECT_MS = 350;
const START_EPOCH_MS = 1_000_000;
/** Time between two events of a server. */
const EVENT_INTERVAL_MS = 1000;

/** Fixture of one server. */
interface StatesWorld extends World {
  states: ColdServerStates;
  startMs: number;
  startedAtMs: number;
  nowMs: number;
  revision: number;
  remainingMs: number | undefined;
  receivedAtMs: number;
}

function record(world: StatesWorld, isFirstList: boolean): void {
  const {startedAtMs, nowMs, remainingMs, receivedAtMs} = world;
  const times = {nowMs, epochMs: START_EPOCH_MS + nowMs};
  const server = {
    id: ID,
    startedAtMs,
    ...(remainingMs === undefined
      ? {}
      : {
          coldReport: {
            remainingMs,
            receivedAtMs,
            entryRevision: world.revision,
          },
        }),
  };
  world.states.record(server, world.startMs, isFirstList, times);
}

const EVENTS: Readonly<
  Record<string, (world: StatesWorld, seconds: number) => void>
> = {
  'reports N s': (world, seconds) => {
    world.revision += 1;
    world.remainingMs = seconds * 1000;
    world.receivedAtMs = world.nowMs;
    record(world, false);
  },
  'lists the row again': world => {
    world.receivedAtMs = world.nowMs;
    record(world, false);
  },
  'starts anew': world => {
    world.startedAtMs += 1;
    world.remainingMs = undefined;
    record(world, false);
  },
  'is unreachable': ({states, nowMs}) =>
    states.recordUnreachable(ID, nowMs - CONNECT_MS, nowMs),
  'is unreachable for 2 s': ({states, nowMs}) =>
    states.recordUnreachable(ID, nowMs - 2000, nowMs),
  replies: world => world.states.recordReachable(ID, world.nowMs),
  'its zone has returned': world =>
    world.states.recordZoneReturned(ID, world.nowMs),
  'is removed': world => world.states.removeAllBut(new Set()),
};

Given(
  'a service whose servers are cold for {int} s after a start',
  function (this: StatesWorld, seconds: number) {
    this.states = new ColdServerStates();
    this.startMs = seconds * 1000;
    this.startedAtMs = 1;
    this.nowMs = 5000;
    this.revision = 1;
  },
);

When(
  /^a listed server (is in the first list|is new)(.*)$/,
  function (this: StatesWorld, first: string, text: string) {
    const events = text.split(', ').slice(1);
    const born = /^born (\d+) s ago$/.exec(events[0] ?? '');
    if (born !== null) {
      events.shift();
      const agoMs = Number(born[1]) * 1000;
      this.startedAtMs = START_EPOCH_MS + this.nowMs - agoMs;
    }
    const report = /^reports (\d+) s$/.exec(events[0] ?? '');
    if (report !== null) {
      events.shift();
      this.remainingMs = Number(report[1]) * 1000;
      this.receivedAtMs = this.nowMs;
    }
    record(this, first === 'is in the first list');
    for (const event of events) {
      this.nowMs += EVENT_INTERVAL_MS;
      const seconds = Number(/\d+/.exec(event)?.[0]);
      const apply = EVENTS[event] ?? EVENTS[event.replace(/\d+/, 'N')];
      assert.ok(apply, event);
      apply(this, seconds);
    }
  },
);

When(
  '{float} s pass at the listed server',
  function (this: StatesWorld, seconds: number) {
    this.nowMs += seconds * 1000;
  },
);

Then(
  /^the listed server is (cold|warm)$/,
  function (this: StatesWorld, expected: string) {
    const isCold = this.states.isCold(ID, this.nowMs);
    assert.equal(isCold, expected === 'cold');
  },
);
