import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASS_ORDER} from './class_demand.js';

/** A request that has not asked again for so long no longer waits. */
const STALE_MS = 500;

interface Waiter {
  readonly request: AdmissionRequest;
  seenAtMs: number;
}

/** The requests that ask again and again for room on one engine. */
export class WaitingList {
  /** By slot id, the longest waiting first. */
  private readonly waiters = new Map<string, Waiter>();

  /** Records that a request asks; tells whether it does for the first time. */
  record(request: AdmissionRequest, nowMs: number): boolean {
    const known = this.waiters.get(request.slotId);
    if (known !== undefined) {
      known.seenAtMs = nowMs;
      return false;
    }
    this.waiters.set(request.slotId, {request, seenAtMs: nowMs});
    return true;
  }

  /** Removes a request. */
  remove(slotId: string): void {
    this.waiters.delete(slotId);
  }

  /** Removes those that no longer ask or have waited long enough. */
  removeStale(nowMs: number): void {
    for (const [slotId, waiter] of this.waiters) {
      const isStale = nowMs - waiter.seenAtMs > STALE_MS;
      const isOver = waiter.request.waitUntilMs < nowMs;
      if (isStale || isOver) this.waiters.delete(slotId);
    }
  }

  /**
   * Finds who is next: the most urgent class, in it the customer with the
   * fewest requests in flight, of several the longest waiting.
   */
  findNext(
    hasRoom: (request: AdmissionRequest) => boolean,
    countOfCustomer: (customer: string) => number,
  ): AdmissionRequest | undefined {
    for (const priority of CLASS_ORDER) {
      const next = this.findFewest(priority, hasRoom, countOfCustomer);
      if (next !== undefined) return next;
    }
    return undefined;
  }

  /** Counts those of a class and of more urgent ones. */
  countAhead(priority: PriorityClass): number {
    const rank = CLASS_ORDER.indexOf(priority);
    let count = 0;
    for (const {request} of this.waiters.values()) {
      if (CLASS_ORDER.indexOf(request.priority) <= rank) count += 1;
    }
    return count;
  }

  /** Counts all. */
  count(): number {
    return this.waiters.size;
  }

  private findFewest(
    priority: PriorityClass,
    hasRoom: (request: AdmissionRequest) => boolean,
    countOfCustomer: (customer: string) => number,
  ): AdmissionRequest | undefined {
    let next: AdmissionRequest | undefined;
    let fewest = Infinity;
    for (const {request} of this.waiters.values()) {
      if (request.priority !== priority || !hasRoom(request)) continue;
      const count = countOfCustomer(request.customer);
      if (count >= fewest) continue;
      fewest = count;
      next = request;
    }
    return next;
  }
}
