import {Clock, Effect} from 'effect';
import {FencingSupport, Logger} from '@greengagecross/common';
import {
  LeaseTerm,
  LeaseWatch,
  type OrderLeasePeriods,
} from '@greengagecross/decisions';
import type {
  LeaseStore,
  PlatformError,
  CurrentLease,
} from '@greengagecross/platform';

const RENEWALS_PER_LEASE = 4;
const logger = new Logger('orders');

interface HeldLease {
  readonly lease: CurrentLease;
  readonly term: LeaseTerm;
  /** When the write of the acquisition or of the last renewal began. */
  readonly renewedAtMs: number;
  /** Time from which no order of the previous holder can be in transit. */
  readonly previousOrdersEndAtMs: number;
}

/** Acquires, renews and releases the lease to send one service's orders. */
export class OrderLease {
  private readonly watch: LeaseWatch;
  private held: HeldLease | undefined;

  constructor(
    /** Name unique to this process, also across restarts. */
    private readonly processName: string,
    private readonly leases: LeaseStore,
    private readonly periods: OrderLeasePeriods,
  ) {
    this.watch = new LeaseWatch(periods.leaseMs);
  }

  /** Returns whether this daemon holds a valid lease now. */
  isValid(nowMs: number): boolean {
    return this.held?.term.isValid(nowMs) ?? false;
  }

  /**
   * Returns the fencing number of the held lease; undefined when none is held.
   * The number increases with each acquisition, and an engine that enforces
   * fencing refuses orders with a lower number than it has received.
   */
  getFencingNumber(): number | undefined {
    return this.held?.lease.row.fencingNumber;
  }

  /** Returns whether engines with this fencing support may get orders now. */
  isOrderAllowed(fencing: FencingSupport, nowMs: number): boolean {
    if (!this.isValid(nowMs)) return false;
    // Such an engine refuses the previous holder's orders, as their fencing
    // number is lower.
    if (fencing === FencingSupport.ENFORCED) return true;
    return nowMs >= (this.held?.previousOrdersEndAtMs ?? 0);
  }

  /** Acquires the lease if it is free, or renews it when renewal is due. */
  update(name: string): Effect.Effect<void, PlatformError> {
    return Effect.suspend(() =>
      this.held === undefined
        ? this.acquire(name)
        : this.renew(name, this.held),
    );
  }

  /**
   * Stops using the lease without releasing it in the store, because an engine
   * refused its fencing number.
   */
  removeLease(): void {
    this.held = undefined;
  }

  /** Releases the lease, so that the next holder need not wait for expiry. */
  release(name: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const {held} = this;
      this.held = undefined;
      if (held === undefined) return Effect.void;
      return Effect.ignore(this.leases.release(name, held.lease));
    });
  }

  private acquire(name: string): Effect.Effect<void, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const current = yield* this.leases.read(name);
      const writeBeganAtMs = yield* Clock.currentTimeMillis;
      const holder = current?.row.holder ?? '';
      // The row names this process if the reply to its own write was lost.
      const isFree = holder === '' || holder === this.processName;
      const version = current?.version ?? 0;
      if (!isFree && !this.watch.observe(version, writeBeganAtMs)) return;
      const lease = yield* this.leases.acquire(name, this.processName, current);
      if (lease === undefined) return;
      this.held = {
        lease,
        term: new LeaseTerm(this.periods, writeBeganAtMs),
        renewedAtMs: writeBeganAtMs,
        previousOrdersEndAtMs:
          current === undefined
            ? writeBeganAtMs
            : writeBeganAtMs + this.periods.orderTimeoutMs,
      };
      logger.log('This daemon acquired the lease for orders.', {
        service: name,
        fencing: lease.row.fencingNumber,
      });
    });
  }

  private renew(
    name: string,
    held: HeldLease,
  ): Effect.Effect<void, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const writeBeganAtMs = yield* Clock.currentTimeMillis;
      const renewalIntervalMs = this.periods.leaseMs / RENEWALS_PER_LEASE;
      if (writeBeganAtMs - held.renewedAtMs < renewalIntervalMs) return;
      const lease = yield* this.leases.renew(name, held.lease);
      if (lease === undefined) {
        this.held = undefined;
        logger.log('This daemon lost the lease for orders.', {service: name});
        return;
      }
      held.term.update(writeBeganAtMs);
      this.held = {...held, lease, renewedAtMs: writeBeganAtMs};
    });
  }
}
