import {PriorityClass, type EngineInFlight} from '@greengagecross/common';
import {EngineOccupancy} from '../limits/engine_occupancy.js';

/** The lease of one request's slot on one engine. */
export interface SlotLease {
  readonly engine: string;
  /** Unique per engine. */
  readonly slotId: string;
  /** Daemon that uses the slot and renews the lease. */
  readonly holder: string;
  /**
   * Customer of the request; absent if the holder did not report it. Leases
   * without a customer count together as one customer and against no limit.
   */
  readonly customer?: string;
  /** A request without a class counts as a consultation. */
  readonly priority?: PriorityClass;
}

interface HeldSlot {
  readonly lease: SlotLease;
  expiresAtMs: number;
}

/**
 * Counts the requests in flight on each engine that this daemon owns, by the
 * leases of the requests' slots.
 *
 * A slot that its holder neither releases nor renews is removed once its lease
 * has expired.
 */
export class EngineLedger {
  private readonly slots = new Map<string, Map<string, HeldSlot>>();

  /** @param slotLeaseMs how long a slot lease lasts after its last renewal. */
  constructor(private readonly slotLeaseMs: number) {}

  /** Returns whether a slot is held, expired leases included. */
  has(engine: string, slotId: string): boolean {
    return this.slots.get(engine)?.has(slotId) === true;
  }

  /**
   * Renews the lease of a slot. A slot that is not in the ledger is added
   * regardless of the bound: either it was just granted, or its request is
   * already running, because the previous owner of the engine crashed or is
   * partitioned from this daemon. Fields that are absent in the lease keep
   * their previous value.
   */
  renew(lease: SlotLease, nowMs: number): void {
    const {engine, slotId} = lease;
    const slots = this.slots.get(engine) ?? new Map<string, HeldSlot>();
    const existing = slots.get(slotId)?.lease;
    const expiresAtMs = nowMs + this.slotLeaseMs;
    slots.set(slotId, {lease: {...existing, ...lease}, expiresAtMs});
    this.slots.set(engine, slots);
  }

  /** Releases a slot; returns whether it was held. */
  release(engine: string, slotId: string): boolean {
    const slots = this.slots.get(engine);
    if (slots === undefined) return false;
    const isHeld = slots.delete(slotId);
    if (slots.size === 0) this.slots.delete(engine);
    return isHeld;
  }

  /** Removes the slots whose lease has expired; returns how many. */
  removeExpired(nowMs: number): number {
    let removed = 0;
    for (const [engine, slots] of this.slots) {
      for (const [slotId, held] of slots) {
        if (held.expiresAtMs > nowMs) continue;
        this.release(engine, slotId);
        removed += 1;
      }
    }
    return removed;
  }

  /** Counts the requests in flight on an engine. */
  count(engine: string): number {
    return this.slots.get(engine)?.size ?? 0;
  }

  /** Returns the counts of an engine's requests, by customer and class too. */
  getOccupancy(engine: string): EngineOccupancy {
    return new LedgerOccupancy(this.slots.get(engine));
  }

  /** Counts the requests on the engines that satisfy a predicate. */
  countWhere(isCounted: (engine: string) => boolean): number {
    let total = 0;
    for (const [engine, slots] of this.slots) {
      if (isCounted(engine)) total += slots.size;
    }
    return total;
  }

  /** Lists the engines with requests in flight, with their counts. */
  listCounts(): EngineInFlight[] {
    return [...this.slots].map(([engine, slots]) => ({
      engine,
      inFlight: slots.size,
    }));
  }
}

/** Counts one engine's slots for its admission control. */
class LedgerOccupancy extends EngineOccupancy {
  constructor(
    private readonly slots: ReadonlyMap<string, HeldSlot> | undefined,
  ) {
    super();
  }

  override count(): number {
    return this.slots?.size ?? 0;
  }

  override countOfCustomer(customer: string): number {
    return this.countWhere(lease => lease.customer === customer);
  }

  override countCustomers(): number {
    const customers = new Set<string | undefined>();
    for (const {lease} of this.slots?.values() ?? []) {
      customers.add(lease.customer);
    }
    return customers.size;
  }

  override countOfClass(priority: PriorityClass): number {
    return this.countWhere(
      lease => (lease.priority ?? PriorityClass.CONSULTATION) === priority,
    );
  }

  private countWhere(isCounted: (lease: SlotLease) => boolean): number {
    let count = 0;
    for (const {lease} of this.slots?.values() ?? []) {
      if (isCounted(lease)) count += 1;
    }
    return count;
  }
}
