import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {ClassDemand} from './class_demand.js';
import type {EngineOccupancy} from './engine_occupancy.js';
import {CapacityRule} from './capacity_rule.js';
import {WaitingList} from './waiting_list.js';

/** Weight of the newest interval in the moving average of grant intervals. */
const GRANT_INTERVAL_WEIGHT = 0.1;

/** The answer to a request for a slot on an engine. */
export enum Admission {
  GRANTED = 'granted',
  /**
   * The request keeps its place in the waiting list if it asks again within
   * 500 ms.
   */
  WAITING = 'waiting',
  /** No slot is expected to be free before the request stops waiting. */
  REFUSED = 'refused',
}

/**
 * Decides which requests run on one engine, at the engine's owner: the daemon
 * that counts its requests.
 *
 * The number of slots reserved for a class follows the class's recent mean of
 * requests in flight.
 * Within a class, a free slot goes to the customer with the fewest requests on
 * the engine, so that a customer with a surge waits behind the others. Requests
 * ask again while they wait; a request that stops asking loses its place.
 */
export class EngineAdmitter {
  private readonly waiting = new WaitingList();
  private readonly demand = new ClassDemand();
  private meanGrantIntervalMs = 0;
  private lastGrantAtMs = 0;

  /**
   * Answers a request that asks for the first time or again.
   *
   * A new request is refused at once if its estimated wait is too long.
   */
  answer(
    request: AdmissionRequest,
    occupancy: EngineOccupancy,
    limit: number,
    nowMs: number,
  ): Admission {
    this.demand.update(occupancy, nowMs);
    this.waiting.removeStale(nowMs);
    const isNew = this.waiting.record(request, nowMs);
    if (this.isNext(request, occupancy, limit)) {
      this.observeGrant(nowMs);
      this.waiting.remove(request.slotId);
      return Admission.GRANTED;
    }
    const waitMs = isNew ? this.computeWaitMs(request.priority) : 0;
    if (nowMs + waitMs < request.waitUntilMs) return Admission.WAITING;
    this.waiting.remove(request.slotId);
    return Admission.REFUSED;
  }

  /**
   * Estimates how long a new request of a class would wait, in milliseconds:
   * for the waiting requests of its own and of more urgent classes. The request
   * itself counts once it is recorded.
   */
  computeWaitMs(priority: PriorityClass): number {
    return this.waiting.countAhead(priority) * this.meanGrantIntervalMs;
  }

  /** Removes a request that no longer waits; no effect if it is unknown. */
  remove(slotId: string): void {
    this.waiting.remove(slotId);
  }

  /** Counts the waiting requests. */
  countWaiting(): number {
    return this.waiting.count();
  }

  private isNext(
    request: AdmissionRequest,
    occupancy: EngineOccupancy,
    limit: number,
  ): boolean {
    if (occupancy.count() >= limit) return false;
    const rule = new CapacityRule(occupancy, limit, this.demand);
    const next = this.waiting.findNext(
      waiting => rule.hasCapacity(waiting),
      customer => rule.countOfCustomer(customer),
    );
    return next?.slotId === request.slotId;
  }

  /**
   * Updates the mean interval between grants, but only while other requests
   * wait: only then does the interval show how fast a full engine frees slots.
   * The waiting list still holds the granted request.
   */
  private observeGrant(nowMs: number): void {
    const intervalMs = nowMs - this.lastGrantAtMs;
    this.lastGrantAtMs = nowMs;
    if (this.waiting.count() <= 1) return;
    const weight = this.meanGrantIntervalMs === 0 ? 1 : GRANT_INTERVAL_WEIGHT;
    this.meanGrantIntervalMs +=
      weight * (intervalMs - this.meanGrantIntervalMs);
  }
}
