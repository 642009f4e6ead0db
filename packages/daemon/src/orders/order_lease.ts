import {Clock, Effect} from 'effect';
import {FencingSupport, Logger} from '@greengagecross/common';
import {
  LeaseTerm,
  LeaseWatch,
  type LeasePeriods,
} from '@greengagecross/decisions';
import type {
  LeaseStore,
  PlatformError,
  CurrentLease,
} from '@greengagecross/platform';

const RENEWALS_PER_LEASE = 4;
const logger = new Logger('orders');

interface Held {
  readonly lease: CurrentLease;
  readonly term: LeaseTerm;
  readonly renewedAtMs: number;
  /** Before this an order of the holder before may still be under way. */
  readonly quietUntilMs: number;
}

/** One daemon's side of the lease under which a service's orders are given. */
export class OrderLease {
  private readonly watch: LeaseWatch;
  private held: Held | undefined;

  constructor(
    /** Name of this process, of no other and of none before it. */
    private readonly self: string,
    private readonly leases: LeaseStore,
    private readonly periods: LeasePeriods,
  ) {
    this.watch = new LeaseWatch(periods.leaseMs);
  }

  /** Tells whether this daemon may give orders now. */
  isValid(nowMs: number): boolean {
    return this.held?.term.isValid(nowMs) ?? false;
  }

  /** Gets the fencing number of its orders; undefined when it holds nothing. */
  getFencingNumber(): number | undefined {
    return this.held?.lease.row.fencingNumber;
  }

  /** Tells whether an order may go to an engine of a kind now. */
  isOrdering(fencing: FencingSupport, nowMs: number): boolean {
    if (!this.isValid(nowMs)) return false;
    // An engine that refuses old numbers needs no quiet time.
    if (fencing === FencingSupport.ENFORCED) return true;
    return nowMs >= (this.held?.quietUntilMs ?? 0);
  }

  /** Takes the lease if it is free, or renews it when that is due. */
  update(name: string): Effect.Effect<void, PlatformError> {
    return Effect.suspend(() =>
      this.held === undefined ? this.take(name) : this.renew(name, this.held),
    );
  }

  /** Removes this daemon's hold, because an engine knows a newer holder. */
  remove(): void {
    this.held = undefined;
  }

  /** Releases the lease, so that the next holder need not wait. */
  release(name: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const {held} = this;
      this.held = undefined;
      if (held === undefined) return Effect.void;
      return Effect.ignore(this.leases.release(name, held.lease));
    });
  }

  private take(name: string): Effect.Effect<void, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const standing = yield* this.leases.read(name);
      const beforeMs = yield* Clock.currentTimeMillis;
      const holder = standing?.row.holder ?? '';
      // Its own name stands there after a reply of its own was lost.
      const isFree = holder === '' || holder === this.self;
      const version = standing?.version ?? 0;
      if (!isFree && !this.watch.observe(version, beforeMs)) return;
      const lease = yield* this.leases.acquire(name, this.self, standing);
      if (lease === undefined) return;
      this.held = {
        lease,
        term: new LeaseTerm(this.periods, beforeMs),
        renewedAtMs: beforeMs,
        quietUntilMs:
          standing === undefined
            ? beforeMs
            : beforeMs + this.periods.orderTimeoutMs,
      };
      logger.log('This daemon gives orders.', {
        service: name,
        fencing: lease.row.fencingNumber,
      });
    });
  }

  private renew(name: string, held: Held): Effect.Effect<void, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const beforeMs = yield* Clock.currentTimeMillis;
      const dueMs = this.periods.leaseMs / RENEWALS_PER_LEASE;
      if (beforeMs - held.renewedAtMs < dueMs) return;
      const lease = yield* this.leases.renew(name, held.lease);
      if (lease === undefined) {
        this.held = undefined;
        logger.log('Another daemon gives orders now.', {service: name});
        return;
      }
      held.term.update(beforeMs);
      this.held = {...held, lease, renewedAtMs: beforeMs};
    });
  }
}
