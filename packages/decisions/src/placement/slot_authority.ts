import type {EngineGroup} from './engine_group.js';
import type {EngineLedger, SlotLease} from './engine_ledger.js';
import {computeLoadBound} from './load_bound.js';
import type {LoadSnapshot} from './load_snapshot.js';

/**
 * Grants the slots of engines that this daemon owns.
 *
 * What other daemons report for the same engine counts too, so that two owners
 * share one bound while their lists differ.
 */
export class SlotAuthority {
  constructor(
    private readonly self: string,
    private readonly ledger: EngineLedger,
  ) {}

  /** Grants a slot unless the engine is at its bound. */
  acquire(
    lease: SlotLease,
    group: EngineGroup,
    snapshot: LoadSnapshot,
    nowMs: number,
  ): boolean {
    if (!group.has(lease.engine)) return false;
    const elsewhere = snapshot.countElsewhere(lease.engine, this.self);
    const bound = this.computeBound(group, snapshot);
    return this.ledger.acquire(lease, bound - elsewhere, nowMs);
  }

  /** Computes the bound that now holds for each engine of a group. */
  computeBound(group: EngineGroup, snapshot: LoadSnapshot): number {
    const elsewhere = snapshot.countGroupElsewhere(group, this.self);
    const own = this.ledger.countWhere(engine => group.has(engine));
    return computeLoadBound(elsewhere + own, group.ids.length, group.rules);
  }

  /** Counts an engine's requests: exactly here, as reported elsewhere. */
  count(engine: string, snapshot: LoadSnapshot): number {
    const elsewhere = snapshot.countElsewhere(engine, this.self);
    return elsewhere + this.ledger.count(engine);
  }
}
