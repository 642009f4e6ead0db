import type {SeededRandom} from '@greengagecross/common';
import {computeCustomerShare, EngineRing} from '@greengagecross/decisions';
import type {BenchSize} from '../bench_size.js';
import {CustomerHome} from './customer_home.js';
import {CustomerPermits, PermitState} from './customer_permits.js';

const CUSTOMER = 'customer';
const RENEW_MS = 3000;
/** Engines that a request asks before it is refused. */
const TRIED_ENGINES = 4;

/** Ends one admitted request. */
export type Release = (nowMs: number) => void;

/** One way to hold a customer's limit over the whole fleet. */
export abstract class CustomerLimiter {
  protected messages = 0;

  /** Admits a request or refuses it. */
  abstract acquire(random: SeededRandom, nowMs: number): Release | undefined;

  /** Renews what lapses. */
  abstract renew(nowMs: number): void;

  /** Counts messages between daemons so far, a call and its answer as one. */
  countMessages(): number {
    return this.messages;
  }
}

/** Each daemon admits its equal part of the limit, at least one request. */
export class EqualSplit extends CustomerLimiter {
  private readonly counts: number[];
  private readonly share: number;

  constructor(size: BenchSize, maxInFlight: number) {
    super();
    this.counts = Array.from({length: size.daemons}, () => 0);
    this.share = Math.max(1, Math.ceil(maxInFlight / size.daemons));
  }

  override acquire(random: SeededRandom): Release | undefined {
    const daemon = random.nextInt(this.counts.length);
    const count = this.counts[daemon] ?? 0;
    if (count >= this.share) return undefined;
    this.counts[daemon] = count + 1;
    return () => {
      this.counts[daemon] = (this.counts[daemon] ?? 1) - 1;
    };
  }

  override renew(): void {}
}

/** Daemons lease permits from the customer's home and renew them. */
export class LeasedPermits extends CustomerLimiter {
  private readonly home = new CustomerHome();
  private readonly daemons: CustomerPermits[];
  private renewedAtMs = 0;

  constructor(
    size: BenchSize,
    private readonly maxInFlight: number,
  ) {
    super();
    this.daemons = Array.from(
      {length: size.daemons},
      () => new CustomerPermits(),
    );
  }

  override acquire(random: SeededRandom, nowMs: number): Release | undefined {
    const index = random.nextInt(this.daemons.length);
    const permits = this.daemons[index];
    if (permits === undefined) return undefined;
    if (permits.take(CUSTOMER, nowMs) === PermitState.ASK) {
      this.ask(permits, index, permits.computeWanted(CUSTOMER), nowMs);
      if (permits.take(CUSTOMER, nowMs) === PermitState.ASK) return undefined;
    }
    return endMs => permits.release(CUSTOMER, endMs);
  }

  override renew(nowMs: number): void {
    if (nowMs - this.renewedAtMs < RENEW_MS) return;
    this.renewedAtMs = nowMs;
    for (const [index, permits] of this.daemons.entries()) {
      const inFlight = permits.computeWanted(CUSTOMER) - 1;
      if (inFlight > 0) this.ask(permits, index, inFlight, nowMs);
    }
  }

  private ask(
    permits: CustomerPermits,
    index: number,
    wanted: number,
    nowMs: number,
  ): void {
    this.messages += 1;
    const {maxInFlight} = this;
    const request = {
      customer: CUSTOMER,
      holder: String(index),
      wanted,
      maxInFlight,
    };
    permits.set(CUSTOMER, this.home.answer(request, nowMs), nowMs);
  }
}

/** A few engines carry the customer; their owners count their shares. */
export class EngineShares extends CustomerLimiter {
  private readonly subset: readonly string[];
  private readonly perEngine: number;
  private readonly counts = new Map<string, number>();

  constructor(size: BenchSize, maxInFlight: number) {
    super();
    const ids = Array.from({length: size.engines}, (unused, i) => `e${i}`);
    const share = computeCustomerShare(maxInFlight, ids.length);
    this.subset = new EngineRing(ids).list(CUSTOMER, share.subsetSize);
    this.perEngine = share.maxInFlightPerEngine;
  }

  override acquire(random: SeededRandom): Release | undefined {
    const first = random.nextInt(this.subset.length);
    const tries = Math.min(TRIED_ENGINES, this.subset.length);
    for (let step = 0; step < tries; step += 1) {
      const engine = this.subset[(first + step) % this.subset.length] ?? '';
      // The directory sends the caller to the first engine's owner; trying
      // another engine asks its owner for a slot.
      if (step > 0) this.messages += 1;
      const count = this.counts.get(engine) ?? 0;
      if (count >= this.perEngine) continue;
      this.counts.set(engine, count + 1);
      return () => {
        this.counts.set(engine, (this.counts.get(engine) ?? 1) - 1);
      };
    }
    return undefined;
  }

  override renew(): void {}
}
