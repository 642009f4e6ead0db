import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {computeColdShare, type ColdBound} from './cold_bound.js';
import {ColdFleet, TICK_MS} from './cold_fleet.js';
import {ColdServerLimit} from './cold_server_limit.js';

const SEED = 20261206;
const SERVER = 's1';
const WINDOW_MS = 1000;
/** Begin of a division of the network. */
const DIVISION_MS = 3000;
/** Time in which each daemon is restarted once, in a small fleet. */
const RESTART_CYCLE_MS = 10_000;
const MIN_RESTART_INTERVAL_MS = 400;
const DOWN_MS = 3000;
const COLD_INTERVAL_MS = 3000;
const WARM_MS = 1000;

/** Fixture of the scenarios of cold servers. */
interface ColdLimitWorld extends World {
  bound: ColdBound;
  fleet: ColdFleet;
  seconds: number;
  limit: ColdServerLimit;
  nowMs: number;
}

type Event = (fleet: ColdFleet, nowMs: number) => void;

function setParts(fleet: ColdFleet, nowMs: number, parts: number): void {
  if (nowMs !== DIVISION_MS) return;
  fleet.daemons.forEach((daemon, at) => (daemon.part = at % parts));
}

const EVENTS: Readonly<Record<string, Event>> = {
  'lose every tenth heartbeat': fleet => {
    fleet.lossShare = 0.1;
  },
  'all start at once': (fleet, nowMs) => {
    if (nowMs > 0) return;
    for (const daemon of fleet.daemons) fleet.start(daemon);
  },
  'stop and start again one after the other': (fleet, nowMs) => {
    const {daemons} = fleet;
    const findDue = (atMs: number): (typeof daemons)[number] | undefined => {
      const intervalMs = Math.max(
        MIN_RESTART_INTERVAL_MS,
        RESTART_CYCLE_MS / daemons.length,
      );
      const at = Math.floor(atMs / intervalMs);
      const isDue = at > Math.floor((atMs - TICK_MS) / intervalMs);
      return isDue ? daemons[at % daemons.length] : undefined;
    };
    const stopped = findDue(nowMs);
    if (stopped !== undefined) stopped.isUp = false;
    const started = findDue(nowMs - DOWN_MS);
    if (started !== undefined) fleet.start(started);
  },
  'are divided in 2 parts': (fleet, nowMs) => setParts(fleet, nowMs, 2),
  'are divided in 3 parts': (fleet, nowMs) => setParts(fleet, nowMs, 3),
  'do not reach one of them': (fleet, nowMs) => {
    const [first] = fleet.daemons;
    if (first !== undefined && nowMs === DIVISION_MS) first.part = 1;
  },
  'find the servers cold again every 3 s': (fleet, nowMs) => {
    if (nowMs % COLD_INTERVAL_MS === 0) fleet.setWarm(WARM_MS);
  },
};

/** Finds the most requests in any sliding window. */
function findMost(times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  let most = 0;
  sorted.forEach((time, at) => {
    while ((sorted[first] ?? time) <= time - WINDOW_MS) first += 1;
    most = Math.max(most, at - first + 1);
  });
  return most;
}

Given(
  'a bound of {float} requests per second x {float} + {float} for a cold server',
  function (
    this: ColdLimitWorld,
    requestsPerSecond: number,
    overage: number,
    slack: number,
  ) {
    this.bound = {requestsPerSecond, overage, slack};
  },
);

Given(
  '{int} daemons that want to send as much as they can, for {int} s',
  function (this: ColdLimitWorld, daemons: number, seconds: number) {
    this.fleet = new ColdFleet(daemons, this.bound, SEED);
    this.fleet.setComplete();
    this.seconds = seconds;
  },
);

When(
  /^during this time the daemons (.*)$/,
  function (this: ColdLimitWorld, text: string) {
    const event = EVENTS[text];
    assert.ok(event);
    const {fleet} = this;
    fleet.run(this.seconds * 1000, nowMs => event(fleet, nowMs));
  },
);

Then(
  'in no second more than {int} requests reach one of the cold servers',
  function (this: ColdLimitWorld, limit: number) {
    const most = [...this.fleet.sentMs.values()].map(findMost);
    this.log(`most requests in a second, by server: ${most.join(', ')}`);
    assert.ok(Math.max(...most) <= limit, most.join(', '));
  },
);

Then(
  'each cold server gets at least {float} requests per second',
  function (this: ColdLimitWorld, least: number) {
    const rates = [...this.fleet.sentMs.values()].map(
      times => times.length / this.seconds,
    );
    this.log(`requests per second, by server: ${rates.join(', ')}`);
    assert.ok(Math.min(...rates) >= least, rates.join(', '));
  },
);

Then(
  /^it has (\d+) senders, each with a token every (\w+) ms$/,
  function (this: ColdLimitWorld, senders: string, intervalMs: string) {
    const share = computeColdShare(this.bound);
    assert.equal(share.senders, Number(senders));
    assert.equal(Math.round(share.tokenIntervalMs), Number(intervalMs));
  },
);

Then(
  'two conflicting views of the members stay within the bound',
  function (this: ColdLimitWorld) {
    const {requestsPerSecond, overage, slack} = this.bound;
    const {senders, tokenIntervalMs} = computeColdShare(this.bound);
    // Choices of 1.35 s may be sent within a second.
    const perSender =
      senders === 0 ? 0 : Math.floor(1350 / tokenIntervalMs) + 1;
    const allowed = requestsPerSecond * overage + slack;
    assert.ok(2 * senders * perSender <= allowed);
  },
);

Given(
  'a daemon that knows no other has found the server cold {int} ms ago',
  function (this: ColdLimitWorld, sinceMs: number) {
    this.limit = new ColdServerLimit('edge-1');
    this.limit.update(SERVER, this.bound, 0);
    this.nowMs = sinceMs;
  },
);

When(
  '{int} ms pass at the cold server',
  function (this: ColdLimitWorld, ms: number) {
    this.nowMs += ms;
  },
);

Then(
  /^it sends (no|one) request to the server, and the next token is due in (\d+) ms$/,
  function (this: ColdLimitWorld, count: string, dueMs: string) {
    const {limit, bound, nowMs} = this;
    assert.equal(limit.take(SERVER, bound, nowMs), count === 'one');
    const waitMs = limit.computeWaitMs(SERVER, bound, nowMs);
    assert.equal(Math.round(waitMs), Number(dueMs));
  },
);
