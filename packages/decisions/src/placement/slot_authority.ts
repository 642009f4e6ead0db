import {PriorityClass} from '@greengagecross/common';
import {Admission, EngineAdmission} from '../limits/engine_admission.js';
import type {EngineGroup} from './engine_group.js';
import type {EngineLedger, SlotLease} from './engine_ledger.js';
import {computeLoadBound} from './load_bound.js';
import type {LoadSnapshot} from './load_snapshot.js';

/** Stands for no bound; more requests than any engine runs at once. */
export const UNBOUNDED_LOAD = 1_000_000;

/**
 * Grants the slots of engines that this daemon owns.
 *
 * What other daemons report for the same engine counts too, so that two owners
 * share one bound while their lists differ.
 */
export class SlotAuthority {
  private readonly admissions = new Map<string, EngineAdmission>();

  /** @param getLimit the most requests that an engine takes at once. */
  constructor(
    private readonly self: string,
    private readonly ledger: EngineLedger,
    private readonly getLimit: (engine: string) => number = () => Infinity,
  ) {}

  /**
   * Grants a slot unless the engine is at its bound or its limit, or another
   * request that asks for room goes before.
   *
   * @param waitMs how long the request keeps asking.
   * @param customerLimit the most requests of its customer on the engine.
   */
  acquire(
    lease: SlotLease,
    group: EngineGroup,
    snapshot: LoadSnapshot,
    nowMs: number,
    waitMs = 0,
    customerLimit = Infinity,
  ): Admission {
    const {engine, slotId} = lease;
    if (!group.has(engine)) return Admission.REFUSED;
    if (this.ledger.has(engine, slotId)) return Admission.GRANTED;
    const occupancy = this.ledger.getOccupancy(engine);
    const customer = lease.customer ?? '';
    if (occupancy.countOfCustomer(customer) >= customerLimit) {
      return Admission.REFUSED;
    }
    const elsewhere = snapshot.countElsewhere(engine, this.self);
    const bound = this.computeBound(group, snapshot) - elsewhere;
    const request = {
      slotId,
      customer,
      priority: lease.priority ?? PriorityClass.CONSULTATION,
      waitUntilMs: nowMs + waitMs,
    };
    const answer = this.findAdmission(engine).request(
      request,
      occupancy,
      Math.min(bound, this.getLimit(engine)),
      nowMs,
    );
    if (answer === Admission.GRANTED) this.ledger.renew(lease, nowMs);
    return answer;
  }

  /**
   * Computes the bound that now holds for each engine of a group.
   *
   * Where loads of some daemons are unknown, so is the mean: an engine's own
   * limit alone holds then, rather than a bound that refuses what has room.
   */
  computeBound(group: EngineGroup, snapshot: LoadSnapshot): number {
    if (!snapshot.isWhole) return UNBOUNDED_LOAD;
    const elsewhere = snapshot.countGroupElsewhere(group, this.self);
    const own = this.ledger.countWhere(engine => group.has(engine));
    return computeLoadBound(elsewhere + own, group.ids.length, group.rules);
  }

  /** Computes how long a request of a class would wait for an engine now. */
  computeWaitMs(engine: string, priority: PriorityClass): number {
    return this.admissions.get(engine)?.computeWaitMs(priority) ?? 0;
  }

  private findAdmission(engine: string): EngineAdmission {
    const known = this.admissions.get(engine);
    if (known !== undefined) return known;
    const admission = new EngineAdmission();
    this.admissions.set(engine, admission);
    return admission;
  }

  /** Counts an engine's requests: exactly here, as reported elsewhere. */
  count(engine: string, snapshot: LoadSnapshot): number {
    const elsewhere = snapshot.countElsewhere(engine, this.self);
    return elsewhere + this.ledger.count(engine);
  }
}
