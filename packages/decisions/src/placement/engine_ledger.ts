import type {EngineCount} from '@greengagecross/common';

/** One request's room on one engine. */
export interface SlotLease {
  readonly engine: string;
  readonly slotId: string;
  /** Daemon that uses the slot and renews it. */
  readonly holder: string;
}

interface HeldSlot {
  readonly holder: string;
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

  /** Acquires a slot unless the engine already carries `bound` requests. */
  acquire(lease: SlotLease, bound: number, nowMs: number): boolean {
    const isKnown = this.slots.get(lease.engine)?.has(lease.slotId) === true;
    if (!isKnown && this.count(lease.engine) >= bound) return false;
    this.renew(lease, nowMs);
    return true;
  }

  /**
   * Renews a slot. One that is unknown here is added whatever the bound, as
   * its request runs already: its former owner died or was parted from us.
   */
  renew({engine, slotId, holder}: SlotLease, nowMs: number): void {
    const taken = this.slots.get(engine) ?? new Map<string, HeldSlot>();
    taken.set(slotId, {holder, expiresAtMs: nowMs + this.leaseMs});
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
