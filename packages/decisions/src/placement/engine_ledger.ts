import {PriorityClass, type EngineCount} from '@greengagecross/common';
import {EngineOccupancy} from '../limits/engine_occupancy.js';

/** One request's room on one engine. */
export interface SlotLease {
  readonly engine: string;
  readonly slotId: string;
  /** Daemon that uses the slot and renews it. */
  readonly holder: string;
  /** Whose request it is for; absent where its owner was not told. */
  readonly customer?: string;
  readonly priority?: PriorityClass;
}

interface HeldSlot {
  readonly lease: SlotLease;
  expiresAtMs: number;
}

/**
 * Counts the requests in flight on each engine that this daemon owns.
 *
 * A slot is a lease: one that its holder neither releases nor renews is
 * forgotten when it expires.
 */
export class EngineLedger {
  private readonly slots = new Map<string, Map<string, HeldSlot>>();

  constructor(private readonly leaseMs: number) {}

  /** Tells whether a slot is held. */
  has(engine: string, slotId: string): boolean {
    return this.slots.get(engine)?.has(slotId) === true;
  }

  /**
   * Renews a slot. One that is unknown here is added whatever the bound, as
   * its request runs already: its former owner died or was parted from us.
   */
  renew(lease: SlotLease, nowMs: number): void {
    const {engine, slotId} = lease;
    const taken = this.slots.get(engine) ?? new Map<string, HeldSlot>();
    const known = taken.get(slotId)?.lease;
    const expiresAtMs = nowMs + this.leaseMs;
    taken.set(slotId, {lease: {...known, ...lease}, expiresAtMs});
    this.slots.set(engine, taken);
  }

  /** Releases a slot; tells whether it was held. */
  release(engine: string, slotId: string): boolean {
    const taken = this.slots.get(engine);
    if (taken === undefined) return false;
    const isHeld = taken.delete(slotId);
    if (taken.size === 0) this.slots.delete(engine);
    return isHeld;
  }

  /** Removes the slots whose lease has expired; tells how many. */
  removeExpired(nowMs: number): number {
    let removed = 0;
    for (const [engine, taken] of this.slots) {
      for (const [slotId, held] of taken) {
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

  /** Gets the counts of an engine's requests, by customer and class too. */
  getOccupancy(engine: string): EngineOccupancy {
    return new LedgerOccupancy(this.slots.get(engine));
  }

  /** Counts the requests on those engines that are chosen. */
  countWhere(isChosen: (engine: string) => boolean): number {
    let total = 0;
    for (const [engine, taken] of this.slots) {
      if (isChosen(engine)) total += taken.size;
    }
    return total;
  }

  /** Lists the engines that carry requests, with their counts. */
  listCounts(): EngineCount[] {
    return [...this.slots].map(([engine, taken]) => ({
      engine,
      inFlight: taken.size,
    }));
  }
}

/** One engine's slots as the admission counts them. */
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
