import assert from 'node:assert/strict';
import {Given, Then, type DataTable, type World} from '@cucumber/cucumber';
import {
  checkPromises,
  formatStatus,
  type DaemonReading,
  type DaemonReport,
  type FleetView,
} from '@greengagecross/client';
import {
  MemberState,
  Outcome,
  OutcomeReason,
  ServiceKind,
  type RecentOutcome,
} from '@greengagecross/common';
import {RecentOutcomes} from '@greengagecross/daemon';
import {makeConfiguration} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';

const NOW_MS = 1_800_000_000_000;
const SINCE_MS = NOW_MS - 61_000;
const REVISION = 12;
const MEAN_IN_FLIGHT = 10;
const OVERRUN_IN_FLIGHT = 60;
const {services} = makeConfiguration(readFixture(Deployment.REGISTRY));

/** State of one scenario about the status screen. */
interface StatusWorld extends World {
  view: FleetView;
}

function findRevision(fault: string, at: number): number {
  if (fault === 'nothing accepted') return 0;
  return fault.startsWith('a revision') && at < 90 ? REVISION - 1 : REVISION;
}

function listOutcomes(fault: string): RecentOutcome[] {
  const reason = /^(\S+) refusals$/.exec(fault)?.[1];
  const times = {count: 20, sinceMs: SINCE_MS, lastMs: NOW_MS};
  const whole = {outcome: Outcome.COMPLETE, reason: '', ...times};
  if (reason !== undefined) {
    return [whole, {outcome: Outcome.NOT_RUN, reason, ...times}];
  }
  if (fault !== 'broken answers') return [whole];
  const silent = OutcomeReason.BACKEND_SILENT;
  const failed = OutcomeReason.BACKEND_FAILED;
  return [
    whole,
    {outcome: Outcome.UNKNOWN, reason: silent, ...times},
    {outcome: Outcome.FAILED, reason: failed, ...times},
  ];
}

function makeReading(at: number, zones: number, fault: string): DaemonReading {
  const id = `entry-${at + 1}`;
  const availabilityZone = `tt-north-${at % zones}`;
  const control = {host: '10.0.0.1', port: 1};
  const host = {id, availabilityZone, control};
  const silent = fault === 'one silent daemon' ? 1 : 60;
  if (fault.includes('silent') && at < silent) {
    return {id, host, report: undefined, error: 'does not answer'};
  }
  const engines = services
    .filter(service => service.kind === ServiceKind.ENGINE)
    .flatMap(service => service.backendServers);
  const [busy] = engines;
  const report: DaemonReport = {
    self: {
      id,
      state: MemberState.LIVE,
      availabilityZone,
      controlAddress: control,
    },
    atMs: NOW_MS,
    uptimeMs: 3_600_000,
    configuration: {
      revision: findRevision(fault, at),
      isCurrent: fault !== 'an outage',
      ...(fault === 'an outage' ? {notCurrentSinceMs: NOW_MS - 60_000} : {}),
      ...(fault.startsWith('a refused')
        ? {refused: 'part 0123 is missing', refusedSinceMs: NOW_MS}
        : {}),
    },
    hostListIsCurrent: fault !== 'an old host list',
    live: [],
    ownedEngines:
      at > 0
        ? []
        : [...new Set(engines.map(engine => engine.id))].map(engine => ({
            engine,
            inFlight:
              fault === 'an overrun engine' && engine === busy?.id
                ? OVERRUN_IN_FLIGHT
                : MEAN_IN_FLIGHT,
          })),
    memoryBytes: 1,
    recentOutcomes: listOutcomes(fault),
    pendingClaims: fault === 'pending claims' ? 3 : 0,
    ...(fault === 'pending claims' ? {pendingClaimsSinceMs: SINCE_MS} : {}),
  };
  return {id, host, report, error: undefined};
}

Given(
  /^a fleet view of (\d+) daemons in (\d+) zones with (.+)$/,
  function (this: StatusWorld, daemons: string, zones: string, fault: string) {
    const length = Number(daemons);
    const isDown = fault === 'an outage';
    this.view = {
      atMs: NOW_MS,
      readings: Array.from({length}, (unused, at) =>
        makeReading(at, Number(zones), fault),
      ),
      isHostListUp: !isDown,
      storeRevision: isDown ? undefined : findRevision(fault, REVISION * 10),
      services: isDown ? [] : services,
      leaving: [],
    };
  },
);

Then(
  'the status screen has at most {int} columns and {int} lines',
  function (this: StatusWorld, columns: number, most: number) {
    const lines = formatStatus(this.view, checkPromises(this.view), false);
    assert.ok(lines.length <= most, `${lines.length} lines`);
    for (const line of lines) assert.ok(line.length <= columns, line);
  },
);

Then(
  /^it judges "(.+)" as (\w+) and advises "(.*)"$/,
  function (this: StatusWorld, name: string, state: string, advice: string) {
    const promises = checkPromises(this.view);
    const promise = promises.find(found => found.name.startsWith(name));
    assert.ok(promise, `no promise ${name}`);
    assert.equal(promise.state, state, promise.detail);
    assert.ok((promise.advice ?? '').includes(advice), promise.advice);
  },
);

Then(
  'it says that {string} is degraded since {int} s ago',
  function (this: StatusWorld, name: string, seconds: number) {
    const promises = checkPromises(this.view);
    const promise = promises.find(found => found.name === name);
    assert.equal(promise?.state, 'degraded');
    assert.equal(promise.sinceMs, NOW_MS - seconds * 1000);
  },
);

Then(
  'outcomes at {int}, {int}, {int} and {int} s are told as the table says',
  function (a: number, b: number, c: number, d: number, table: DataTable) {
    const rows = table.hashes().map(row => ({...row, at: Number(row['at'])}));
    const recent = new RecentOutcomes();
    const ends = [a, b, c, d];
    for (let second = 0; second <= Math.max(...ends, d + 10); second += 1) {
      const nowMs = second * 1000;
      if (ends.includes(second)) recent.add(Outcome.UNKNOWN, 'x', nowMs);
      const row = rows.find(({at}) => at === second);
      if (row === undefined) continue;
      const [told] = recent.list(nowMs);
      const {count, since} = row as {count?: string; since?: string};
      assert.equal(told === undefined ? '' : String(told.count), count);
      if (told !== undefined) assert.equal(told.sinceMs, Number(since) * 1000);
    }
  },
);
