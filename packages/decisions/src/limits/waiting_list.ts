import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASSES_BY_URGENCY} from './class_demand.js';

/** A request that has not asked again for this long is removed. */
const STALE_AFTER_MS = 500;

interface Waiter {
  readonly request: AdmissionRequest;
  lastAskedAtMs: number;
}

/** The requests that wait for a slot on one engine and ask repeatedly. */
export class WaitingList {
  /** By slot id, the longest waiting first. */
  private readonly waiters = new Map<string, Waiter>();

  /** Records that a request asked; true if it asked for the first time. */
  record(request: AdmissionRequest, nowMs: number): boolean {
    const waiter = this.waiters.get(request.slotId);
    if (waiter !== undefined) {
      waiter.lastAskedAtMs = nowMs;
      return false;
    }
    this.waiters.set(request.slotId, {request, lastAskedAtMs: nowMs});
    return true;
  }

  /** Removes a request; no effect if it does not wait. */
  remove(slotId: string): void {
    this.waiters.delete(slotId);
  }

  /** Removes requests that stopped asking or whose waiting time has expired. */
  removeStale(nowMs: number): void {
    for (const [slotId, waiter] of this.waiters) {
      const isStale = nowMs - waiter.lastAskedAtMs > STALE_AFTER_MS;
      const isExpired = waiter.request.waitUntilMs < nowMs;
      if (isStale || isExpired) this.waiters.delete(slotId);
    }
  }

  /**
   * Finds the next request to run among those that the engine has capacity for:
   * of the most urgent class, of the customer with the fewest requests in
   * flight, and of these the longest waiting. Undefined if there is none.
   */
  findNext(
    hasCapacity: (request: AdmissionRequest) => boolean,
    countInFlight: (customer: string) => number,
  ): AdmissionRequest | undefined {
    for (const priority of CLASSES_BY_URGENCY) {
      const next = this.findByFewestInFlight(
        priority,
        hasCapacity,
        countInFlight,
      );
      if (next !== undefined) return next;
    }
    return undefined;
  }

  /** Counts the waiting requests of a class and of more urgent classes. */
  countAhead(priority: PriorityClass): number {
    const rank = CLASSES_BY_URGENCY.indexOf(priority);
    let count = 0;
    for (const {request} of this.waiters.values()) {
      if (CLASSES_BY_URGENCY.indexOf(request.priority) <= rank) count += 1;
    }
    return count;
  }

  /** Counts all waiting requests. */
  count(): number {
    return this.waiters.size;
  }

  private findByFewestInFlight(
    priority: PriorityClass,
    hasCapacity: (request: AdmissionRequest) => boolean,
    countInFlight: (customer: string) => number,
  ): AdmissionRequest | undefined {
    let next: AdmissionRequest | undefined;
    let fewest = Infinity;
    for (const {request} of this.waiters.values()) {
      if (request.priority !== priority || !hasCapacity(request)) continue;
      const count = countInFlight(request.customer);
      if (count >= fewest) continue;
      fewest = count;
      next = request;
    }
    return next;
  }
}
