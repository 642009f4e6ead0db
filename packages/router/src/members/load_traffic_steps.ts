import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {SimulatedFleet, type SimulatedMember} from './simulated_fleet.js';

const MEASURED_MS = 11_000;
const CHECK_EVERY_MS = 100;

interface FleetSize {
  readonly daemons: number;
  readonly zones: number;
  readonly requests: number;
  readonly servers: number;
}

/** World with one simulated fleet. */
interface TrafficWorld extends World {
  size: FleetSize;
  fleet: SimulatedFleet;
}

function makeFleet(size: FleetSize): SimulatedFleet {
  const fleet = new SimulatedFleet(size.daemons, size.zones);
  fleet.addRequests(size.requests, size.servers);
  // Until all have told that they have sums, heartbeats carry counts.
  fleet.run(12_000);
  return fleet;
}

/** Counts the bytes that each daemon sends in a second, sorted. */
function countBytes(
  fleet: SimulatedFleet,
  key: 'heartbeatBytes' | 'fullBytes' | 'loadBytes',
): number[] {
  const seconds = MEASURED_MS / 1000;
  return fleet.members
    .map(member => Math.round(member[key] / seconds))
    .sort((a, b) => a - b);
}

function computeMean(all: readonly number[]): number {
  return Math.round(all.reduce((a, b) => a + b, 0) / all.length);
}

function countActual(fleet: SimulatedFleet, observer: SimulatedMember): number {
  return fleet.members
    .filter(member => member !== observer && !member.isDead)
    .flatMap(({inFlight}) => Object.values(inFlight))
    .reduce((sum, count) => sum + count, 0);
}

function countShown(fleet: SimulatedFleet, {view}: SimulatedMember): number {
  let sum = 0;
  for (let at = 0; at < 3; at += 1) {
    sum += view.countInFlight(`engine-${at}`, fleet.nowMs);
  }
  return sum;
}

/** Checks the counts of all running daemons, as shares of the actual ones. */
function checkCounts(fleet: SimulatedFleet, least: number, most: number): void {
  for (const member of fleet.members.filter(({isDead}) => !isDead)) {
    const actual = countActual(fleet, member);
    const shown = countShown(fleet, member);
    assert.ok(
      shown >= least * actual && shown <= most * actual,
      `${member.self.id} counts ${shown} of ${actual} at ${fleet.nowMs} ms`,
    );
  }
}

Given(
  'a simulated fleet of {int} daemons in {int} zones with {int} requests each at {int} servers',
  function (
    this: TrafficWorld,
    daemons: number,
    zones: number,
    requests: number,
    servers: number,
  ) {
    this.size = {daemons, zones, requests, servers};
    this.fleet = makeFleet(this.size);
  },
);

When(
  /^in the simulated fleet (a collector loses power|a zone loses power|a daemon hears nothing from its collector|a collector hears nothing from another one)$/,
  function (this: TrafficWorld, loss: string) {
    const {fleet} = this;
    const [collector, other] = fleet.findCollectors();
    assert.ok(collector !== undefined && other !== undefined);
    const zone = collector.self.availabilityZone;
    const neighbours = fleet.members.filter(
      ({self}) => self.availabilityZone === zone,
    );
    switch (loss) {
      case 'a collector loses power':
        collector.isDead = true;
        return;
      case 'a zone loses power':
        for (const member of neighbours) member.isDead = true;
        return;
      case 'a daemon hears nothing from its collector': {
        const daemon = neighbours.find(member => member !== collector);
        assert.ok(daemon);
        fleet.setLinkBroken(collector, daemon);
        return;
      }
      default:
        fleet.setLinkBroken(other, collector);
    }
  },
);

When(
  'each simulated daemon gets {int} more requests at {int} servers',
  function (this: TrafficWorld, requests: number, servers: number) {
    this.fleet.addRequests(requests, servers);
  },
);

Then(
  'for {int} ms every simulated daemon counts at least {int} in 100 of the requests of the others',
  function (this: TrafficWorld, ms: number, percent: number) {
    for (let atMs = 0; atMs < ms; atMs += CHECK_EVERY_MS) {
      this.fleet.run(CHECK_EVERY_MS);
      checkCounts(this.fleet, percent / 100, Infinity);
    }
  },
);

Then(
  'after {int} ms every simulated daemon counts at least {int} in 100 of the requests of the others',
  function (this: TrafficWorld, ms: number, percent: number) {
    this.fleet.run(ms);
    checkCounts(this.fleet, percent / 100, Infinity);
  },
);

Then(
  'after {int} ms every simulated daemon counts the requests of the others, give or take {int} in 100',
  function (this: TrafficWorld, ms: number, percent: number) {
    this.fleet.run(ms);
    checkCounts(this.fleet, 1 - percent / 100, 1 + percent / 100);
  },
);

Then(
  'a daemon of the simulated fleet sends at most {int} bytes a second in heartbeats, where all counts take more than {int}',
  {timeout: 120_000},
  function (this: TrafficWorld, most: number, before: number) {
    const {fleet} = this;
    for (const member of fleet.members) {
      member.heartbeatBytes = 0;
      member.fullBytes = 0;
      member.loadBytes = 0;
    }
    fleet.run(MEASURED_MS);
    const heartbeats = computeMean(countBytes(fleet, 'heartbeatBytes'));
    const formerly = computeMean(countBytes(fleet, 'fullBytes'));
    const loads = countBytes(fleet, 'loadBytes');
    this.log(
      `${this.size.daemons} daemons, bytes a daemon and second: heartbeats ${heartbeats}, formerly ${formerly}; loads ${computeMean(loads)}, of the busiest collector ${loads.at(-1)}`,
    );
    assert.ok(heartbeats <= most, `${heartbeats}`);
    assert.ok(formerly > before, `${formerly}`);
  },
);
