import {PriorityClass} from '@greengagecross/common';
import {Admission, EngineAdmitter} from '../limits/engine_admission.js';
import type {EngineGroup} from './engine_group.js';
import type {EngineLedger, SlotLease} from './engine_ledger.js';
import {computeLoadBound} from './load_bound.js';
import type {LoadSnapshot} from './load_snapshot.js';

/** Bound in requests that means no bound: no engine runs as many at once. */
export const UNBOUNDED_LOAD = 1_000_000;

/**
 * Grants slots of the engines that this daemon owns, which means that it counts
 * their requests. A slot is the right to run one request on an engine.
 *
 * Requests that other daemons report for the same engine count too. Two daemons
 * that both own an engine, while their lists of live daemons differ, thus share
 * one bound.
 */
export class SlotAuthority {
  private readonly admitters = new Map<string, EngineAdmitter>();

  /**
   * @param self id of this daemon.
   * @param getLimit returns the most requests that an engine runs at once.
   */
  constructor(
    private readonly self: string,
    private readonly ledger: EngineLedger,
    private readonly getLimit: (engine: string) => number = () => Infinity,
  ) {}

  /**
   * Grants a slot unless the engine has reached its bound or the most requests
   * that it runs at once, the customer has reached its share of the engine, or
   * another waiting request has precedence. A slot that is already held is
   * granted again; an engine outside the group is refused.
   *
   * @param nowMs milliseconds since the epoch.
   * @param waitMs how long the request goes on asking if it isn't granted.
   * @param maxInFlightPerEngine most requests of the customer on the engine.
   */
  acquire(
    lease: SlotLease,
    group: EngineGroup,
    snapshot: LoadSnapshot,
    nowMs: number,
    waitMs = 0,
    maxInFlightPerEngine = Infinity,
  ): Admission {
    const {engine, slotId} = lease;
    if (!group.has(engine)) return Admission.REFUSED;
    if (this.ledger.has(engine, slotId)) return Admission.GRANTED;
    const occupancy = this.ledger.getOccupancy(engine);
    const customer = lease.customer ?? '';
    if (occupancy.countOfCustomer(customer) >= maxInFlightPerEngine) {
      return Admission.REFUSED;
    }
    const reportedCount = snapshot.countExcluding(engine, this.self);
    const boundLeftHere = this.computeBound(group, snapshot) - reportedCount;
    const request = {
      slotId,
      customer,
      priority: lease.priority ?? PriorityClass.CONSULTATION,
      waitUntilMs: nowMs + waitMs,
    };
    const admission = this.getAdmitter(engine).answer(
      request,
      occupancy,
      Math.min(boundLeftHere, this.getLimit(engine)),
      nowMs,
    );
    if (admission === Admission.GRANTED) this.ledger.renew(lease, nowMs);
    return admission;
  }

  /**
   * Computes the bound for each engine of a group, in requests.
   *
   * The mean is unknown while the load of any daemon is unknown. Then only the
   * engine's own limit applies, because a bound that is too low would refuse
   * requests that the engine has capacity for.
   */
  computeBound(group: EngineGroup, snapshot: LoadSnapshot): number {
    if (!snapshot.isComplete) return UNBOUNDED_LOAD;
    const reportedCount = snapshot.countGroupExcluding(group, this.self);
    const heldCount = this.ledger.countWhere(engine => group.has(engine));
    return computeLoadBound(
      reportedCount + heldCount,
      group.ids.length,
      group.rules,
    );
  }

  /**
   * Estimates how long a request of a class would wait for an engine now; 0 if
   * no slot of the engine was requested yet.
   */
  computeWaitMs(engine: string, priority: PriorityClass): number {
    return this.admitters.get(engine)?.computeWaitMs(priority) ?? 0;
  }

  private getAdmitter(engine: string): EngineAdmitter {
    const existing = this.admitters.get(engine);
    if (existing !== undefined) return existing;
    const admitter = new EngineAdmitter();
    this.admitters.set(engine, admitter);
    return admitter;
  }

  /**
   * Counts an engine's requests over all daemons: the slots granted here, and
   * the requests that other daemons reported.
   */
  countOverall(engine: string, snapshot: LoadSnapshot): number {
    const reportedCount = snapshot.countExcluding(engine, this.self);
    return reportedCount + this.ledger.count(engine);
  }
}
