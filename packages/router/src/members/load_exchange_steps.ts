import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {SeededRandom, type Address} from '@greengagecross/common';
import {
  chooseCollectors,
  FleetWatch,
  LoadSums,
} from '@greengagecross/decisions';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {LoadExchange} from './load_exchange.js';
import type {LoadMessage} from './load_message.js';
import {MemberView} from './member_view.js';

const TICK_MS = 200;
const DELIVERY_MS = 5;
const ENGINE = 'e1';
/** Longer than any scenario, so that no heartbeat expires. */
const HEARTBEAT_INTERVAL_MS = 1_000_000;

interface SimulatedDaemon {
  readonly self: DaemonIdentity;
  readonly view: MemberView;
  readonly exchange: LoadExchange;
  inFlight: Record<string, number>;
  received: number;
  isDead: boolean;
}

/** Daemons on virtual time that exchange loads only. */
class LoadFleet {
  readonly daemons: SimulatedDaemon[] = [];
  nowMs = 0;
  private readonly random = new SeededRandom(3);
  private readonly deliveries = new Map<number, Array<() => void>>();
  /** Daemons by the phase of their timers, so that not all act at once. */
  private readonly byPhase: SimulatedDaemon[][] = Array.from(
    {length: TICK_MS},
    () => [],
  );

  constructor(
    count: number,
    private readonly lossShare: number,
  ) {
    for (let at = 0; at < count; at += 1) {
      const daemon = this.make(at);
      this.daemons.push(daemon);
      this.byPhase[(at * 37) % TICK_MS]?.push(daemon);
    }
    for (const daemon of this.daemons) {
      for (const other of this.daemons) {
        daemon.view.recordHeartbeat(makeHeartbeat(other.self, 1), 0);
      }
    }
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    for (; this.nowMs < endMs; this.nowMs += 1) {
      for (const deliver of this.deliveries.get(this.nowMs) ?? []) deliver();
      this.deliveries.delete(this.nowMs);
      const phase = this.nowMs % TICK_MS;
      for (const {exchange, inFlight, isDead} of this.byPhase[phase] ?? []) {
        if (isDead) continue;
        exchange.runTick({...inFlight}, true, this.nowMs, TICK_MS / 2);
      }
    }
  }

  findCollectors(): SimulatedDaemon[] {
    const running = this.daemons.filter(({isDead}) => !isDead);
    const collectors = chooseCollectors(running.map(({self}) => self));
    const ids = new Set([...collectors.values()].map(({id}) => id));
    return running.filter(({self}) => ids.has(self.id));
  }

  countShown(daemon: SimulatedDaemon): number {
    return daemon.view.countInFlight(ENGINE, this.nowMs);
  }

  countActual(daemon: SimulatedDaemon): number {
    return this.daemons
      .filter(other => other !== daemon && !other.isDead)
      .reduce((sum, other) => sum + (other.inFlight[ENGINE] ?? 0), 0);
  }

  private make(at: number): SimulatedDaemon {
    const heartbeats = {host: `h${at}`, port: 1};
    const self = {
      id: `d${at}`,
      availabilityZone: `z${at % 6}`,
      callers: heartbeats,
      peers: heartbeats,
      heartbeats,
    };
    const sums = new LoadSums();
    const view = new MemberView(self.id, new FleetWatch(self.id, 1), sums);
    const send = (message: LoadMessage, addresses: readonly Address[]): void =>
      this.send(message, addresses);
    return {
      self,
      view,
      exchange: new LoadExchange(self, view, sums, send),
      inFlight: {},
      received: 0,
      isDead: false,
    };
  }

  private send(message: LoadMessage, addresses: readonly Address[]): void {
    for (const {host} of addresses) {
      if (this.random.nextUnit() < this.lossShare) continue;
      const to = this.daemons[Number(host.slice(1))];
      assert.ok(to);
      const atMs = this.nowMs + DELIVERY_MS;
      const deliver = (): void => {
        if (to.isDead) return;
        to.received += 1;
        to.exchange.receive(message, atMs);
      };
      const deliveries = this.deliveries.get(atMs) ?? [];
      deliveries.push(deliver);
      this.deliveries.set(atMs, deliveries);
    }
  }
}

function makeHeartbeat(self: DaemonIdentity, sequence: number): Heartbeat {
  return {
    ...self,
    incarnation: 1,
    sequence,
    state: DaemonState.READY,
    intervalMs: HEARTBEAT_INTERVAL_MS,
    isStoreReached: true,
    configurationVersion: 1,
    backendsChange: 1,
    inFlight: {},
    crashes: {},
  };
}

/** World with one simulated fleet. */
interface LoadWorld extends World {
  loads: LoadFleet;
}

Given(
  'a fleet of {int} daemons in 6 zones that loses {int} in 100 datagrams',
  function (this: LoadWorld, count: number, lossPercent: number) {
    this.loads = new LoadFleet(count, lossPercent / 100);
    this.loads.run(5000);
    for (const daemon of this.loads.daemons) daemon.received = 0;
  },
);

When(
  'each daemon gets {int} more requests in flight at engine {string}',
  function (this: LoadWorld, count: number, engine: string) {
    for (const {inFlight} of this.loads.daemons) inFlight[engine] = count;
  },
);

When('all requests in flight end', function (this: LoadWorld) {
  for (const daemon of this.loads.daemons) daemon.inFlight = {};
});

When('{int} ms pass in the fleet', function (this: LoadWorld, ms: number) {
  this.loads.run(ms);
});

When('the collectors of two zones lose power', function (this: LoadWorld) {
  this.loads.run(1000);
  for (const daemon of this.loads.findCollectors().slice(0, 2)) {
    daemon.isDead = true;
  }
});

When(
  'the daemons without power are no longer ready',
  function (this: LoadWorld) {
    const {daemons, nowMs} = this.loads;
    for (const {self} of daemons.filter(({isDead}) => isDead)) {
      const heartbeat = {
        ...makeHeartbeat(self, 2),
        state: DaemonState.LEAVING,
      };
      for (const {view} of daemons) view.recordHeartbeat(heartbeat, nowMs);
    }
  },
);

Then(
  'after {int} ms every daemon counts the requests of all others at {string}, give or take {int} in 100',
  function (this: LoadWorld, ms: number, engine: string, percent: number) {
    assert.equal(engine, ENGINE);
    const startMs = this.loads.nowMs;
    this.loads.run(ms);
    for (const daemon of this.loads.daemons) {
      if (daemon.isDead) continue;
      const actual = this.loads.countActual(daemon);
      const shown = this.loads.countShown(daemon);
      const most = Math.max(actual, 1) * (percent / 100);
      assert.ok(
        Math.abs(shown - actual) <= most,
        `${daemon.self.id} counts ${shown} of ${actual} at ${startMs + ms} ms`,
      );
    }
  },
);

Then(
  'after {int} ms every daemon counts at least 2 in 3 of the requests at {string}',
  function (this: LoadWorld, ms: number, engine: string) {
    assert.equal(engine, ENGINE);
    this.loads.run(ms);
    for (const daemon of this.loads.daemons) {
      if (daemon.isDead) continue;
      const actual = this.loads.countActual(daemon);
      assert.ok(this.loads.countShown(daemon) >= (2 / 3) * actual);
    }
  },
);

Then(
  /^a (daemon that is no collector|collector) receives at most (\d+) datagrams a second$/,
  function (this: LoadWorld, role: string, most: string) {
    for (const daemon of this.loads.daemons) daemon.received = 0;
    this.loads.run(5000);
    const collectors = new Set(this.loads.findCollectors());
    const isAsked = (daemon: SimulatedDaemon): boolean =>
      collectors.has(daemon) === (role === 'collector');
    for (const daemon of this.loads.daemons.filter(isAsked)) {
      assert.ok(daemon.received / 5 <= Number(most), `${daemon.received / 5}`);
    }
  },
);
