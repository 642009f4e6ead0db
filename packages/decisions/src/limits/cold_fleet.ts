import {SeededRandom} from '@greengagecross/common';
import {
  computeFleetHeartbeatMs,
  computeLiveAgeMs,
} from '../members/fleet_heartbeats.js';
import type {ColdBound} from './cold_bound.js';
import {ColdServerLimit} from './cold_server_limit.js';

/** Step of the simulation. */
export const TICK_MS = 10;
/** Time between two looks of a daemon at its members. */
const MEMBERS_INTERVAL_MS = 250;
const SERVERS = ['s1', 's2', 's3', 's4'];
/** Requests that a daemon tries to send in a row, as for retries. */
const TRIES = 3;
const MAX_HEARTBEAT_DELAY_MS = 400;
/** Longest time between a choice and its request: the connect timeout. */
const MAX_SEND_DELAY_MS = 350;
const MAX_NEWS_DELAY_MS = 300;

interface SimulatedDaemon {
  readonly id: string;
  limit: ColdServerLimit;
  isUp: boolean;
  /** Part of the network; daemons hear those of their own part. */
  part: number;
  nextHeartbeatMs: number;
  /** When the last heartbeat of each peer arrived. */
  readonly heard: Map<SimulatedDaemon, number>;
  /** Time up to which it knows that the servers are not cold. */
  coldFromMs: number;
}

interface Message {
  readonly atMs: number;
  readonly from: SimulatedDaemon;
  readonly to: SimulatedDaemon;
  readonly isReplyWanted: boolean;
}

/** Simulates daemons that send as much as they can to some cold servers. */
export class ColdFleet {
  readonly daemons: SimulatedDaemon[];
  /** Times of the requests to each server. */
  readonly sentMs = new Map<string, number[]>(SERVERS.map(id => [id, []]));
  /** Share of heartbeats that are lost. */
  lossShare = 0;
  nowMs = 0;
  private readonly random: SeededRandom;
  private readonly intervalMs: number;
  private readonly messages = new Map<number, Message[]>();

  constructor(
    count: number,
    private readonly bound: ColdBound,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
    this.intervalMs = computeFleetHeartbeatMs(count);
    this.daemons = Array.from({length: count}, (unused, at) => ({
      id: `edge-${at}`,
      limit: new ColdServerLimit(`edge-${at}`),
      isUp: true,
      part: 0,
      nextHeartbeatMs: this.random.nextInt(this.intervalMs),
      heard: new Map(),
      coldFromMs: 0,
    }));
  }

  /** Makes every daemon know all others, as after a long time. */
  setComplete(): void {
    for (const daemon of this.daemons) {
      for (const peer of this.daemons) {
        if (peer !== daemon) daemon.heard.set(peer, this.nowMs);
      }
      this.updateMembers(daemon);
    }
  }

  /** Starts a daemon without any knowledge; it announces itself to all. */
  start(daemon: SimulatedDaemon): void {
    daemon.isUp = true;
    daemon.limit = new ColdServerLimit(daemon.id);
    daemon.heard.clear();
    daemon.nextHeartbeatMs = this.nowMs + this.intervalMs;
    this.sendToAll(daemon, true);
  }

  /** Makes the servers warm; each daemon finds them cold again later. */
  setWarm(forMs: number): void {
    for (const daemon of this.daemons) {
      for (const id of SERVERS) daemon.limit.remove(id);
      const delayMs = this.random.nextInt(MAX_NEWS_DELAY_MS);
      daemon.coldFromMs = this.nowMs + forMs + delayMs;
    }
  }

  /** Runs until a time; `onTick` is called before each step. */
  run(untilMs: number, onTick: (nowMs: number) => void): void {
    for (; this.nowMs < untilMs; this.nowMs += TICK_MS) {
      onTick(this.nowMs);
      this.receiveMessages();
      this.daemons.forEach((daemon, at) => {
        if (!daemon.isUp) return;
        if (daemon.nextHeartbeatMs <= this.nowMs) {
          daemon.nextHeartbeatMs += this.intervalMs;
          this.sendToAll(daemon, false);
        }
        const phaseMs = this.nowMs + (at % 25) * TICK_MS;
        if (phaseMs % MEMBERS_INTERVAL_MS === 0) this.updateMembers(daemon);
        if (daemon.coldFromMs <= this.nowMs) this.sendRequests(daemon);
      });
    }
  }

  private sendRequests({limit}: SimulatedDaemon): void {
    for (const [id, times] of this.sentMs) {
      for (let at = 0; at < TRIES; at += 1) {
        if (!limit.take(id, this.bound, this.nowMs)) continue;
        times.push(this.nowMs + this.random.nextInt(MAX_SEND_DELAY_MS));
      }
    }
  }

  private updateMembers({limit, heard}: SimulatedDaemon): void {
    const oldestMs = this.nowMs - computeLiveAgeMs(this.intervalMs);
    const members = [];
    for (const [{id}, atMs] of heard) {
      if (atMs >= oldestMs) members.push({id, isLeaving: false});
    }
    limit.updateMembers(members, this.nowMs);
  }

  private sendToAll(from: SimulatedDaemon, isReplyWanted: boolean): void {
    for (const to of this.daemons) {
      if (to !== from) this.send({from, to, isReplyWanted});
    }
  }

  private send(message: Omit<Message, 'atMs'>): void {
    if (this.random.nextUnit() < this.lossShare) return;
    const delayMs = TICK_MS + this.random.nextInt(MAX_HEARTBEAT_DELAY_MS);
    const atMs = Math.ceil((this.nowMs + delayMs) / TICK_MS) * TICK_MS;
    const messages = this.messages.get(atMs) ?? [];
    messages.push({...message, atMs});
    this.messages.set(atMs, messages);
  }

  private receiveMessages(): void {
    const due = this.messages.get(this.nowMs) ?? [];
    this.messages.delete(this.nowMs);
    for (const {from, to, isReplyWanted, atMs} of due) {
      if (!to.isUp || from.part !== to.part) continue;
      to.heard.set(from, atMs);
      if (isReplyWanted) this.send({from: to, to: from, isReplyWanted: false});
    }
  }
}
