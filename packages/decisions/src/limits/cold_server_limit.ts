import {hash32} from '@greengagecross/common';
import {KnownMembers, type HeardMember} from '../members/known_members.js';
import {
  computeScore,
  makeHashedIds,
  type HashedId,
} from '../placement/rendezvous_hash.js';
import {
  computeColdShare,
  type ColdBound,
  type ColdShare,
} from './cold_bound.js';

interface Bucket {
  /** Rights to send a request, from 0 to 1. */
  tokens: number;
  updatedAtMs: number;
}

/**
 * Limits the requests that all daemons together send to a cold server, without
 * messages between daemons. Addresses the load of a server that was just started
 * and that every daemon finds idle at the same time.
 *
 * The first daemons by rendezvous hash of the server are its senders. Each has a
 * token bucket of capacity 1; the other daemons send nothing. A bucket starts
 * empty and is discarded when this daemon is no longer a sender, so that a change
 * of members does not add tokens: the requests of any second are at most the
 * tokens at its begin, one per sender, and those gained in it.
 *
 * Used by package `router`; each `nowMs` is in milliseconds of the monotonic
 * clock.
 */
export class ColdServerLimit {
  private readonly members = new KnownMembers();
  private readonly self: HashedId;
  private others: readonly HashedId[] = [];
  private readonly buckets = new Map<string, Bucket>();
  /** Number of members with a higher score than this daemon, by server id. */
  private readonly ranks = new Map<string, number>();

  constructor(selfId: string) {
    this.self = {id: selfId, hash: hash32(selfId)};
  }

  /** Records the other daemons that count as running. */
  updateMembers(heard: readonly HeardMember[], nowMs: number): void {
    if (!this.members.update(heard, nowMs)) return;
    this.others = makeHashedIds(this.members.listIds());
    this.ranks.clear();
  }

  /**
   * Starts or continues the bucket of a cold server, and discards it if this
   * daemon is not a sender. To be called regularly: a token that is gained
   * between two calls counts for the whole time between them.
   */
  update(serverId: string, bound: ColdBound, nowMs: number): void {
    const share = computeColdShare(bound);
    if (!this.isSender(serverId, share)) {
      this.buckets.delete(serverId);
      return;
    }
    const bucket = this.buckets.get(serverId);
    if (bucket === undefined) {
      this.buckets.set(serverId, {tokens: 0, updatedAtMs: nowMs});
      return;
    }
    const gained = (nowMs - bucket.updatedAtMs) / share.tokenIntervalMs;
    bucket.tokens = Math.min(1, bucket.tokens + gained);
    bucket.updatedAtMs = nowMs;
  }

  /** Returns whether this daemon may send a request to a cold server now. */
  isAvailable(serverId: string, bound: ColdBound, nowMs: number): boolean {
    this.update(serverId, bound, nowMs);
    return (this.buckets.get(serverId)?.tokens ?? 0) >= 1;
  }

  /**
   * Takes the token for one request to a cold server.
   *
   * @return false if there is none, so that the request must not be sent
   */
  take(serverId: string, bound: ColdBound, nowMs: number): boolean {
    if (!this.isAvailable(serverId, bound, nowMs)) return false;
    this.buckets.set(serverId, {tokens: 0, updatedAtMs: nowMs});
    return true;
  }

  /**
   * Computes the time until a token for the server is due at this daemon, in
   * milliseconds. At a daemon that is not a sender, the longest time until one is
   * due at another daemon; infinite if the bound allows no request.
   */
  computeWaitMs(serverId: string, bound: ColdBound, nowMs: number): number {
    this.update(serverId, bound, nowMs);
    const {tokenIntervalMs} = computeColdShare(bound);
    const bucket = this.buckets.get(serverId);
    if (bucket === undefined) return tokenIntervalMs;
    return (1 - bucket.tokens) * tokenIntervalMs;
  }

  /** Computes the time in which one sender gains a token, in milliseconds. */
  computeIntervalMs(bound: ColdBound): number {
    return computeColdShare(bound).tokenIntervalMs;
  }

  /** Discards the bucket of a server that is no longer cold. */
  remove(serverId: string): void {
    this.buckets.delete(serverId);
    this.ranks.delete(serverId);
  }

  /** Counts the members that decide on the senders, including this daemon. */
  countMembers(): number {
    return this.others.length + 1;
  }

  private isSender(serverId: string, {senders}: ColdShare): boolean {
    const rank = this.ranks.get(serverId) ?? this.computeRank(serverId);
    this.ranks.set(serverId, rank);
    return rank < senders;
  }

  private computeRank(serverId: string): number {
    const key = hash32(serverId);
    const own = computeScore(key, this.self.hash);
    return this.others.filter(({id, hash}) => {
      const score = computeScore(key, hash);
      return score > own || (score === own && id < this.self.id);
    }).length;
  }
}
