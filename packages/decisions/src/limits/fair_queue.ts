import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASS_ORDER} from './class_demand.js';

/** Requests that wait for one engine: by class, then by customer in turn. */
export class FairQueue {
  private readonly waiting = new Map<PriorityClass, AdmissionRequest[]>();

  /** Adds a request behind the others of its class. */
  add(request: AdmissionRequest): void {
    const queue = this.waiting.get(request.priority) ?? [];
    queue.push(request);
    this.waiting.set(request.priority, queue);
  }

  /** Removes a request that no longer waits. */
  remove(slotId: string): boolean {
    for (const queue of this.waiting.values()) {
      const index = queue.findIndex(request => request.slotId === slotId);
      if (index < 0) continue;
      queue.splice(index, 1);
      return true;
    }
    return false;
  }

  /** Takes the requests whose wait is over. */
  takeExpired(nowMs: number): AdmissionRequest[] {
    const expired: AdmissionRequest[] = [];
    for (const [priority, queue] of this.waiting) {
      expired.push(...queue.filter(r => r.waitUntilMs <= nowMs));
      const left = queue.filter(r => r.waitUntilMs > nowMs);
      this.waiting.set(priority, left);
    }
    return expired;
  }

  /**
   * Takes the next request of a class: that of the customer with the fewest
   * requests in flight, the oldest where several have as few. One with an infinite count stays.
   */
  takeNext(
    priority: PriorityClass,
    countInFlight: (request: AdmissionRequest) => number,
  ): AdmissionRequest | undefined {
    const queue = this.waiting.get(priority) ?? [];
    let best = -1;
    let fewest = Infinity;
    for (const [index, request] of queue.entries()) {
      const count = countInFlight(request);
      if (count >= fewest) continue;
      fewest = count;
      best = index;
    }
    return best < 0 ? undefined : queue.splice(best, 1)[0];
  }

  /** Takes the oldest request of the most urgent class that waits. */
  takeMostUrgent(): AdmissionRequest | undefined {
    for (const priority of CLASS_ORDER) {
      const next = this.waiting.get(priority)?.shift();
      if (next !== undefined) return next;
    }
    return undefined;
  }

  /** Counts those of a class and of more urgent ones. */
  countAhead(priority: PriorityClass): number {
    return CLASS_ORDER.slice(0, CLASS_ORDER.indexOf(priority) + 1).reduce(
      (sum, c) => sum + (this.waiting.get(c)?.length ?? 0),
      0,
    );
  }

  /** Counts a customer's waiting requests. */
  countOf(customer: string): number {
    let count = 0;
    for (const queue of this.waiting.values()) {
      count += queue.filter(r => r.customer === customer).length;
    }
    return count;
  }

  /** Counts all that wait. */
  count(): number {
    return this.countAhead(CLASS_ORDER.at(-1) as PriorityClass);
  }
}
