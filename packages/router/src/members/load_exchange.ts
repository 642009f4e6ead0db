import type {Address} from '@greengagecross/common';
import {
  addCounts,
  chooseCollectors,
  computeLoadIntervalMs,
  type LoadSums,
  type ServerCounts,
} from '@greengagecross/decisions';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import {hasCounts, type Heartbeat} from './heartbeat.js';
import {LoadMessageKind, type LoadMessage} from './load_message.js';
import type {MemberView} from './member_view.js';

/** Sends one datagram to each address. */
export type SendLoad = (
  message: LoadMessage,
  addresses: readonly Address[],
) => void;

type Collector = Pick<DaemonIdentity, 'id' | 'availabilityZone' | 'heartbeats'>;

/**
 * Exchanges loads through one collector for each availability zone; see
 * `LoadSums` of package decisions. `nowMs` is a time on the monotonic clock.
 */
export class LoadExchange {
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  private intervalMs = 0;

  constructor(
    private readonly self: DaemonIdentity,
    private readonly view: MemberView,
    private readonly sums: LoadSums,
    private readonly send: SendLoad,
  ) {}

  /**
   * Reports this daemon's requests in flight if that is due and, if this daemon
   * is the collector of its zone, sends the sums.
   *
   * @param isReady whether this daemon is ready and may be a collector
   * @param toleranceMs how much earlier than the interval counts as due
   */
  runTick(
    counts: ServerCounts,
    isReady: boolean,
    nowMs: number,
    toleranceMs: number,
  ): void {
    if (nowMs - this.lastSentAtMs < this.intervalMs - toleranceMs) return;
    this.lastSentAtMs = nowMs;
    const ready: Collector[] = this.view.listReady(nowMs);
    if (isReady) ready.push(this.self);
    const zone = this.self.availabilityZone;
    const neighbours = ready.filter(
      daemon => daemon.availabilityZone === zone && daemon !== this.self,
    );
    this.intervalMs = computeLoadIntervalMs(neighbours.length + 1);
    this.sums.setIntervalMs(this.intervalMs);
    this.sums.setOwnReport(counts);
    const collectors = chooseCollectors(ready);
    const collector = collectors.get(zone);
    if (collector !== this.self) {
      this.sums.stopCollecting();
      if (collector === undefined) return;
      const report = this.makeMessage(LoadMessageKind.REPORT, counts);
      this.send(report, [collector.heartbeats]);
      return;
    }
    this.sums.startCollecting(nowMs);
    this.sums.recordReport(this.self.id, counts, nowMs);
    const others = [...collectors.values()].filter(
      other => other !== this.self,
    );
    this.sendSums(neighbours, others, nowMs);
  }

  /** Records the counts of a message. */
  receive(message: LoadMessage, nowMs: number): void {
    const {kind, id, availabilityZone: zone, inFlight} = message;
    switch (kind) {
      case LoadMessageKind.REPORT:
        this.sums.recordReport(id, inFlight, nowMs);
        return;
      case LoadMessageKind.ZONE:
        this.sums.recordZone(zone, inFlight, nowMs);
        return;
      case LoadMessageKind.ALL:
        this.sums.recordSums(inFlight, nowMs);
    }
  }

  private sendSums(
    neighbours: readonly Collector[],
    collectors: readonly Collector[],
    nowMs: number,
  ): void {
    const {sums, self} = this;
    const running = this.view.listRunning(nowMs);
    const ownZone = self.availabilityZone;
    sums.keepRunning(
      new Set([
        self.id,
        ...running.flatMap(({id, availabilityZone}) => [id, availabilityZone]),
      ]),
    );
    // A new collector would first send sums that are too low.
    const isNew = sums.isNewCollector(nowMs);
    const hasOwnReports = this.hasOwnReports(nowMs);
    const hasAllReports = hasOwnReports && this.hasOtherZones(nowMs);
    sums.setComplete(hasAllReports, nowMs);
    if (isNew && !hasOwnReports) return;
    const unreported = running.filter(
      ({id, availabilityZone}) =>
        availabilityZone === ownZone && !sums.isRecent(id, nowMs),
    );
    const zone = addCounts([
      sums.addReports(nowMs),
      ...unreported.map(heartbeat =>
        sums.findLastCounts(heartbeat.id, listCounts([heartbeat])),
      ),
    ]);
    this.send(
      this.makeMessage(LoadMessageKind.ZONE, zone),
      collectors.map(({heartbeats}) => heartbeats),
    );
    if (isNew && !hasAllReports) return;
    const all = addCounts([
      zone,
      sums.addZones(nowMs),
      ...this.listSilentZoneCounts(running, nowMs),
    ]);
    sums.recordSums(all, nowMs);
    this.send(
      this.makeMessage(LoadMessageKind.ALL, all),
      neighbours.map(({heartbeats}) => heartbeats),
    );
  }

  /** Lists the last known counts of each other zone without recent sums. */
  private listSilentZoneCounts(
    running: readonly Heartbeat[],
    nowMs: number,
  ): ServerCounts[] {
    const silent = running.filter(
      ({availabilityZone: zone}) =>
        zone !== this.self.availabilityZone && !this.sums.isRecent(zone, nowMs),
    );
    const zones = new Set(silent.map(daemon => daemon.availabilityZone));
    return [...zones].map(zone =>
      this.sums.findLastCounts(
        zone,
        listCounts(silent.filter(daemon => daemon.availabilityZone === zone)),
      ),
    );
  }

  /** Returns whether no ready daemon of this zone lacks a recent report. */
  private hasOwnReports(nowMs: number): boolean {
    return this.view
      .listReady(nowMs)
      .filter(daemon => daemon.availabilityZone === this.self.availabilityZone)
      .every(({id}) => this.sums.isRecent(id, nowMs));
  }

  /** Returns whether no other zone with ready daemons lacks recent sums. */
  private hasOtherZones(nowMs: number): boolean {
    return this.view
      .listReady(nowMs)
      .filter(daemon => daemon.availabilityZone !== this.self.availabilityZone)
      .every(({availabilityZone: zone}) => this.sums.isRecent(zone, nowMs));
  }

  private makeMessage(
    kind: LoadMessageKind,
    inFlight: ServerCounts,
  ): LoadMessage {
    const {id, availabilityZone} = this.self;
    return {kind, id, availabilityZone, inFlight};
  }
}

/** Lists the counts of heartbeats; undefined for one that carries none. */
function listCounts(
  heartbeats: readonly Heartbeat[],
): Array<ServerCounts | undefined> {
  return heartbeats.map(heartbeat =>
    hasCounts(heartbeat) ? heartbeat.inFlight : undefined,
  );
}
