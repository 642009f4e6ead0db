import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {SeededRandom} from '@greengagecross/common';
import {computeFleetHeartbeatMs} from './fleet_heartbeats.js';
import {
  FleetWatch,
  WATCH_HEARTBEAT_MS,
  type WatchedDaemon,
} from './fleet_watch.js';

const TICK_MS = 200;
const DELIVERY_MS = 5;
const WARM_UP_MS = 12_000;

/** One simulated daemon. */
interface SimulatedDaemon {
  readonly id: string;
  readonly watch: FleetWatch;
  readonly peers: Map<string, WatchedDaemon>;
  lastToAllMs: number;
  lastToWatchersMs: number;
  isSilent: boolean;
  isDeaf: boolean;
  isFrozen: boolean;
}

/** Fleet on virtual time in which only heartbeats are sent. */
class SimulatedFleet {
  readonly daemons: SimulatedDaemon[] = [];
  nowMs = 0;
  /** Ids of running daemons that were left out, with those who did so. */
  readonly leftOut = new Map<string, Set<string>>();
  brokenPair: readonly string[] = [];
  /** Daemons by the phase of their timers, so that not all act at once. */
  private readonly byPhase: SimulatedDaemon[][] = Array.from(
    {length: TICK_MS},
    () => [],
  );
  private readonly random = new SeededRandom(7);
  private readonly intervalMs: number;

  constructor(
    count: number,
    private readonly lossShare: number,
  ) {
    this.intervalMs = computeFleetHeartbeatMs(count);
    for (let at = 0; at < count; at += 1) {
      const id = `d${at}`;
      const daemon: SimulatedDaemon = {
        id,
        watch: new FleetWatch(id, 1),
        peers: new Map(),
        lastToAllMs: -this.random.nextUnit() * this.intervalMs,
        lastToWatchersMs: 0,
        isSilent: false,
        isDeaf: false,
        isFrozen: false,
      };
      this.daemons.push(daemon);
      this.byPhase[(at * 37) % TICK_MS]?.push(daemon);
    }
    for (const daemon of this.daemons) {
      for (const {id} of this.daemons) {
        if (id === daemon.id) continue;
        const peer = {id, incarnation: 1, lastSeenAtMs: 0, watchers: []};
        daemon.peers.set(id, peer);
      }
    }
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    for (; this.nowMs < endMs; this.nowMs += 1) {
      for (const daemon of this.byPhase[this.nowMs % TICK_MS] ?? []) {
        if (!daemon.isFrozen) this.runTick(daemon);
      }
    }
  }

  isOffered(by: SimulatedDaemon, id: string): boolean {
    const peer = by.peers.get(id);
    return peer !== undefined && !by.watch.isSuspected(peer);
  }

  private runTick(daemon: SimulatedDaemon): void {
    const {nowMs, intervalMs} = this;
    const peers = [...daemon.peers.values()];
    const hasNews = daemon.watch.update(peers, intervalMs, nowMs);
    if (hasNews || nowMs - daemon.lastToAllMs >= intervalMs) {
      daemon.lastToAllMs = nowMs;
      daemon.lastToWatchersMs = nowMs;
      this.send(daemon, [...daemon.peers.keys()]);
    } else if (nowMs - daemon.lastToWatchersMs >= WATCH_HEARTBEAT_MS) {
      daemon.lastToWatchersMs = nowMs;
      this.send(daemon, daemon.watch.listRecipients(nowMs));
    }
    for (const other of this.daemons) {
      if (other.isSilent || other.isFrozen || other === daemon) continue;
      if (this.isOffered(daemon, other.id) || daemon.isDeaf) continue;
      const by = this.leftOut.get(other.id) ?? new Set();
      this.leftOut.set(other.id, by.add(daemon.id));
    }
  }

  private send(from: SimulatedDaemon, recipients: readonly string[]): void {
    if (from.isSilent) return;
    const silent = from.watch.getSilent();
    const watchers = from.watch.getWatchers();
    for (const id of recipients) {
      const to = this.daemons[Number(id.slice(1))];
      const {brokenPair} = this;
      const isBroken = brokenPair.includes(id) && brokenPair.includes(from.id);
      if (to === undefined || to.isDeaf || to.isFrozen || isBroken) continue;
      if (this.random.nextUnit() < this.lossShare) continue;
      const atMs = this.nowMs + DELIVERY_MS;
      to.peers.set(from.id, {
        id: from.id,
        incarnation: 1,
        lastSeenAtMs: atMs,
        watchers,
      });
      to.watch.recordReports(from.id, silent, atMs);
    }
  }
}

/** World with one simulated fleet. */
interface WatchWorld extends World {
  watched: SimulatedFleet;
  lost: readonly SimulatedDaemon[];
}

function countLeftOut(fleet: SimulatedFleet): number {
  return Math.max(0, ...[...fleet.leftOut.values()].map(by => by.size));
}

Given(
  'a watched fleet of {int} daemons that loses {int} in 100 heartbeats',
  function (this: WatchWorld, count: number, lossPercent: number) {
    this.watched = new SimulatedFleet(count, lossPercent / 100);
    this.watched.run(WARM_UP_MS);
    this.watched.leftOut.clear();
  },
);

When('{int} daemons lose power', function (this: WatchWorld, count: number) {
  this.lost = this.watched.daemons.slice(0, count);
  for (const daemon of this.lost) {
    daemon.isSilent = true;
    daemon.isFrozen = true;
  }
});

When(
  /^a daemon (is frozen|hears none|is cut off) for (\d+) ms$/,
  function (this: WatchWorld, kind: string, ms: string) {
    const daemon = this.watched.daemons[5];
    assert.ok(daemon);
    this.lost = [daemon];
    daemon.isFrozen = kind === 'is frozen';
    daemon.isDeaf = kind !== 'is frozen';
    daemon.isSilent = kind !== 'hears none';
    this.watched.run(Number(ms));
    daemon.isFrozen = false;
    daemon.isDeaf = false;
    daemon.isSilent = false;
  },
);

When(
  'the heartbeats between two daemons are lost for {int} ms',
  function (this: WatchWorld, ms: number) {
    const [first] = this.watched.daemons;
    const watcher = first?.watch.getWatchers()[0];
    assert.ok(first && watcher);
    this.watched.brokenPair = [first.id, watcher];
    this.watched.run(ms);
  },
);

Then(
  'within {int} ms no daemon sends clients to them',
  function (this: WatchWorld, ms: number) {
    this.watched.run(ms);
    const running = this.watched.daemons.filter(daemon => !daemon.isFrozen);
    const offering = running.filter(daemon =>
      this.lost.some(({id}) => this.watched.isOffered(daemon, id)),
    );
    assert.deepEqual(
      offering.map(({id}) => id),
      [],
    );
  },
);

Then(
  /^no (?:running|other) daemon was left out by more than (\d+) others$/,
  function (this: WatchWorld, most: string) {
    for (const {id} of this.lost ?? []) this.watched.leftOut.delete(id);
    assert.ok(countLeftOut(this.watched) <= Number(most));
  },
);

Then(
  '{int} ms later every daemon sends clients to it again',
  function (this: WatchWorld, ms: number) {
    this.watched.run(ms);
    const [daemon] = this.lost;
    assert.ok(daemon);
    for (const other of this.watched.daemons) {
      if (other === daemon) continue;
      assert.ok(this.watched.isOffered(other, daemon.id), other.id);
    }
  },
);
