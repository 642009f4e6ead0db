import type {EngineCount} from '@greengagecross/common';

/** Counts the requests in flight on each engine that this daemon owns. */
export class EngineLedger {
  /** Holder of each slot, by engine and slot id. */
  private readonly slots = new Map<string, Map<string, string>>();

  /** Acquires a slot unless the engine already carries `bound` requests. */
  acquire(
    engine: string,
    slotId: string,
    holder: string,
    bound: number,
  ): boolean {
    const taken = this.slots.get(engine) ?? new Map<string, string>();
    if (taken.has(slotId)) return true;
    if (taken.size >= bound) return false;
    taken.set(slotId, holder);
    this.slots.set(engine, taken);
    return true;
  }

  /** Releases a slot; an unknown one is ignored. */
  release(engine: string, slotId: string): void {
    const taken = this.slots.get(engine);
    if (taken === undefined) return;
    taken.delete(slotId);
    if (taken.size === 0) this.slots.delete(engine);
  }

  /** Releases every slot of a holder that is gone. */
  releaseHolder(holder: string): void {
    for (const [engine, taken] of this.slots) {
      for (const [slotId, owner] of taken) {
        if (owner === holder) this.release(engine, slotId);
      }
    }
  }

  /** Counts the requests in flight on an engine. */
  count(engine: string): number {
    return this.slots.get(engine)?.size ?? 0;
  }

  /** Lists the engines that carry requests, with their counts. */
  listCounts(): EngineCount[] {
    return [...this.slots].map(([engine, taken]) => ({
      engine,
      inFlight: taken.size,
    }));
  }
}
