import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {ClassDemand} from './class_demand.js';
import type {EngineOccupancy} from './engine_occupancy.js';
import {RoomRule} from './room_rule.js';
import {WaitingList} from './waiting_list.js';

const GRANT_INTERVAL_WEIGHT = 0.1;

/** What becomes of a request for room on an engine. */
export enum Admission {
  GRANTED = 'granted',
  /** It may ask again shortly and keeps its place. */
  WAITING = 'waiting',
  /** Room will not come in time. */
  REFUSED = 'refused',
}

/**
 * Decides which requests run on one engine, at the daemon that owns it.
 *
 * Urgent classes find room kept free for as many as they lately had in
 * flight. Within a class, free room goes to the customer with the fewest
 * requests on the engine, so that one that surges waits behind the others.
 * Requests ask again while they wait; one that stops asking loses its place.
 */
export class EngineAdmission {
  private readonly waiting = new WaitingList();
  private readonly demand = new ClassDemand();
  private grantIntervalMs = 0;
  private grantedAtMs = 0;

  /** Decides on a request that asks for the first time or again. */
  request(
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

  /** Computes how long a request of a class would wait now. */
  computeWaitMs(priority: PriorityClass): number {
    return this.waiting.countAhead(priority) * this.grantIntervalMs;
  }

  /** Removes a request that has given up. */
  remove(slotId: string): void {
    this.waiting.remove(slotId);
  }

  /** Counts the requests that wait. */
  countWaiting(): number {
    return this.waiting.count();
  }

  private isNext(
    request: AdmissionRequest,
    occupancy: EngineOccupancy,
    limit: number,
  ): boolean {
    if (occupancy.count() >= limit) return false;
    const rule = new RoomRule(occupancy, limit, this.demand);
    const next = this.waiting.findNext(
      waiting => rule.has(waiting),
      customer => rule.countOfCustomer(customer),
    );
    return next?.slotId === request.slotId;
  }

  /** Grants while others wait tell how fast a full engine frees room. */
  private observeGrant(nowMs: number): void {
    const intervalMs = nowMs - this.grantedAtMs;
    this.grantedAtMs = nowMs;
    if (this.waiting.count() <= 1) return;
    const weight = this.grantIntervalMs === 0 ? 1 : GRANT_INTERVAL_WEIGHT;
    this.grantIntervalMs += weight * (intervalMs - this.grantIntervalMs);
  }
}
