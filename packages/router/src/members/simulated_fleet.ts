import {SeededRandom, type Address} from '@greengagecross/common';
import {
  chooseCollectors,
  computeFleetHeartbeatMs,
  FleetWatch,
  LoadSums,
  WATCH_HEARTBEAT_MS,
} from '@greengagecross/decisions';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {HeartbeatCounts} from './heartbeat_counts.js';
import type {DatagramMessage} from './heartbeat_socket.js';
import {LoadExchange} from './load_exchange.js';
import type {LoadMessage} from './load_message.js';
import {MemberView} from './member_view.js';

const TICK_MS = 200;
const DELIVERY_MS = 5;
/** Start of all simulated processes, with as many digits as a real one. */
const INCARNATION = 1_796_000_000_000;

/** One daemon of the simulation. */
export interface SimulatedMember {
  readonly self: DaemonIdentity;
  readonly view: MemberView;
  readonly watch: FleetWatch;
  readonly sums: LoadSums;
  readonly counts: HeartbeatCounts;
  readonly exchange: LoadExchange;
  inFlight: Record<string, number>;
  sequence: number;
  lastSentAtMs: number;
  lastWatchMs: number;
  isMissingLoads: boolean;
  heartbeatBytes: number;
  /** Bytes of the same heartbeats if all of them carried counts. */
  fullBytes: number;
  loadBytes: number;
  isDead: boolean;
}

/** Daemons that exchange heartbeats and loads, on virtual time. */
export class SimulatedFleet {
  readonly members: SimulatedMember[] = [];
  nowMs = 0;
  private readonly random = new SeededRandom(5);
  private readonly deliveries = new Map<number, Array<() => void>>();
  private readonly intervalMs: number;
  private readonly brokenLinks = new Set<string>();

  constructor(
    daemons: number,
    private readonly zones: number,
  ) {
    this.intervalMs = computeFleetHeartbeatMs(daemons);
    for (let at = 0; at < daemons; at += 1) this.members.push(this.make(at));
    for (const {view} of this.members) {
      for (const other of this.members) {
        view.recordHeartbeat(this.makeHeartbeat(other), 0);
      }
    }
  }

  run(forMs: number): void {
    const endMs = this.nowMs + forMs;
    for (; this.nowMs < endMs; this.nowMs += 1) {
      for (const deliver of this.deliveries.get(this.nowMs) ?? []) deliver();
      this.deliveries.delete(this.nowMs);
      // The phases of the daemons' timers differ, so that not all act at once.
      for (let at = 0; at < this.members.length; at += 1) {
        if ((at * 37 + this.nowMs) % TICK_MS === 0) this.runTick(at);
      }
    }
  }

  /** Gives each daemon requests at random servers; seeds are fixed. */
  addRequests(requestsEach: number, servers: number): void {
    for (const {inFlight} of this.members) {
      for (let count = 0; count < requestsEach; count += 1) {
        const id = `engine-${Math.floor(this.random.nextUnit() * servers)}`;
        inFlight[id] = (inFlight[id] ?? 0) + 1;
      }
    }
  }

  /** Loses all datagrams from one daemon to another. */
  setLinkBroken(from: SimulatedMember, to: SimulatedMember): void {
    this.brokenLinks.add(`${from.self.id} ${to.self.id}`);
  }

  findCollectors(): SimulatedMember[] {
    const running = this.members.filter(({isDead}) => !isDead);
    const collectors = chooseCollectors(running.map(({self}) => self));
    const ids = new Set([...collectors.values()].map(({id}) => id));
    return running.filter(({self}) => ids.has(self.id));
  }

  private runTick(at: number): void {
    const member = this.members[at];
    if (member === undefined || member.isDead) return;
    const {nowMs} = this;
    const toleranceMs = TICK_MS / 2;
    const {view, watch, counts} = member;
    const isUrgent = watch.update(
      view.listWatched(nowMs),
      this.intervalMs,
      nowMs,
    );
    const isMissing = counts.isMissing(this.intervalMs, nowMs);
    const hasLost = isMissing && !member.isMissingLoads;
    const isDue = nowMs - member.lastSentAtMs >= this.intervalMs - toleranceMs;
    if (isUrgent || isDue || hasLost) {
      member.lastSentAtMs = nowMs;
      member.lastWatchMs = nowMs;
      member.isMissingLoads = isMissing;
      this.sendHeartbeat(member, view.listHeartbeatTargets(nowMs));
    } else if (nowMs - member.lastWatchMs >= WATCH_HEARTBEAT_MS - toleranceMs) {
      member.lastWatchMs = nowMs;
      const watchers = view.findHeartbeats(watch.listRecipients(nowMs));
      this.sendHeartbeat(member, watchers);
    }
    member.sums.setHeartbeatIntervalMs(this.intervalMs);
    member.exchange.runTick({...member.inFlight}, true, nowMs, toleranceMs);
  }

  private sendHeartbeat(
    member: SimulatedMember,
    peers: readonly Heartbeat[],
  ): void {
    member.sequence += 1;
    const heartbeat = this.makeHeartbeat(member);
    member.fullBytes += JSON.stringify(heartbeat).length * peers.length;
    member.counts.send(heartbeat, peers);
  }

  private makeHeartbeat(member: SimulatedMember): Heartbeat {
    const {self, sequence, watch, counts, inFlight} = member;
    const isMissingLoads = counts.isMissing(this.intervalMs, this.nowMs);
    return {
      ...self,
      incarnation: INCARNATION,
      sequence,
      state: DaemonState.READY,
      intervalMs: this.intervalMs,
      isStoreReached: true,
      configurationVersion: 12_345,
      backendsChange: 23_456,
      inFlight: {...inFlight},
      ...(isMissingLoads ? {isMissingLoads} : {}),
      watchers: watch.getWatchers(),
      silent: watch.getSilent(),
      suspects: [],
      crashes: {},
    };
  }

  private make(at: number): SimulatedMember {
    const host = `10.0.${at >> 8}.${at & 255}`;
    const self = {
      id: `daemon-${at}`,
      availabilityZone: `zone-${at % this.zones}`,
      callers: {host, port: 8080},
      peers: {host, port: 8081},
      heartbeats: {host, port: 8082},
    };
    const sums = new LoadSums();
    const watch = new FleetWatch(self.id, INCARNATION);
    const view = new MemberView(self.id, watch, sums);
    const send = (message: DatagramMessage, to: readonly Address[]): void => {
      this.send(member, message, to);
    };
    const member: SimulatedMember = {
      self,
      view,
      watch,
      sums,
      counts: new HeartbeatCounts(sums, send),
      exchange: new LoadExchange(self, view, sums, send),
      inFlight: {},
      sequence: 1,
      // As if daemons had started one after the other.
      lastSentAtMs: -Math.floor((at * this.intervalMs) / 360),
      lastWatchMs: 0,
      isMissingLoads: true,
      heartbeatBytes: 0,
      fullBytes: 0,
      loadBytes: 0,
      isDead: false,
    };
    return member;
  }

  private send(
    from: SimulatedMember,
    message: DatagramMessage,
    addresses: readonly Address[],
  ): void {
    if (addresses.length === 0) return;
    const bytes = JSON.stringify(message).length * addresses.length;
    if ('kind' in message) from.loadBytes += bytes;
    else from.heartbeatBytes += bytes;
    const atMs = this.nowMs + DELIVERY_MS;
    const deliveries = this.deliveries.get(atMs) ?? [];
    this.deliveries.set(atMs, deliveries);
    for (const {host} of addresses) {
      const [, , high, low] = host.split('.').map(Number);
      const to = this.members[(high ?? 0) * 256 + (low ?? 0)];
      if (to === undefined) continue;
      if (this.brokenLinks.has(`${from.self.id} ${to.self.id}`)) continue;
      deliveries.push(() => this.receive(to, message, atMs));
    }
  }

  private receive(
    to: SimulatedMember,
    message: DatagramMessage,
    atMs: number,
  ): void {
    if (to.isDead) return;
    if ('kind' in message) to.exchange.receive(message as LoadMessage, atMs);
    else to.view.recordHeartbeat(message, atMs);
  }
}
