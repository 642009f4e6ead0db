import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASS_ORDER, ClassDemand} from './class_demand.js';
import {FairQueue} from './fair_queue.js';

const RELEASE_INTERVAL_WEIGHT = 0.1;
const FIRST_RETRY_MS = 500;

/** What becomes of a request for room on an engine. */
export enum Admission {
  GRANTED = 'granted',
  WAITING = 'waiting',
  REFUSED = 'refused',
}

/** The decision, and when a refused request may be tried again. */
export interface AdmissionAnswer {
  readonly admission: Admission;
  readonly retryAfterMs: number;
}

const GRANTED: AdmissionAnswer = {
  admission: Admission.GRANTED,
  retryAfterMs: 0,
};
const WAITING: AdmissionAnswer = {
  admission: Admission.WAITING,
  retryAfterMs: 0,
};

interface Running {
  readonly customer: string;
  readonly priority: PriorityClass;
}

/**
 * Decides which requests run on one engine, at the daemon that owns it.
 *
 * Urgent classes find room kept free for as many as they lately had in
 * flight. Within a class, freed room goes to the customer with the fewest
 * requests on the engine, so that one that surges waits behind the others.
 */
export class EngineAdmission {
  private readonly running = new Map<string, Running>();
  private readonly byCustomer = new Map<string, number>();
  private readonly byClass = new Map<PriorityClass, number>();
  private readonly queue = new FairQueue();
  private readonly demand = new ClassDemand();
  private releaseIntervalMs = 0;
  private releasedAtMs = 0;

  /** Decides on a new request under the limit that now holds. */
  request(
    request: AdmissionRequest,
    limit: number,
    nowMs: number,
  ): AdmissionAnswer {
    if (this.running.has(request.slotId)) return GRANTED;
    this.demand.update(this.byClass, nowMs);
    if (this.isWithinShare(request) && this.hasRoom(request.priority, limit)) {
      this.start(request);
      return GRANTED;
    }
    const waitMs = this.computeWaitMs(request.priority);
    const retryAfterMs = Math.max(waitMs, FIRST_RETRY_MS);
    if (nowMs + waitMs > request.waitUntilMs || this.isOverShare(request)) {
      return {admission: Admission.REFUSED, retryAfterMs};
    }
    this.queue.add(request);
    return WAITING;
  }

  /** Releases room; gives the requests that now run instead. */
  release(slotId: string, limit: number, nowMs: number): AdmissionRequest[] {
    const ended = this.running.get(slotId);
    if (ended === undefined) {
      this.queue.remove(slotId);
      return [];
    }
    this.demand.update(this.byClass, nowMs);
    this.observeRelease(nowMs);
    this.running.delete(slotId);
    addCount(this.byCustomer, ended.customer, -1);
    addCount(this.byClass, ended.priority, -1);
    return this.startWaiting(limit);
  }

  /** Lets waiting requests run after the limit has risen. */
  startWaiting(limit: number): AdmissionRequest[] {
    const started: AdmissionRequest[] = [];
    for (const priority of CLASS_ORDER) {
      while (this.hasRoom(priority, limit)) {
        const next = this.queue.takeNext(priority, request =>
          this.isWithinShare(request)
            ? (this.byCustomer.get(request.customer) ?? 0)
            : Infinity,
        );
        if (next === undefined) break;
        this.start(next);
        started.push(next);
      }
    }
    return started;
  }

  /** Takes the requests that have waited for too long. */
  takeExpired(nowMs: number): AdmissionRequest[] {
    return this.queue.takeExpired(nowMs);
  }

  /** Counts the requests in flight. */
  count(): number {
    return this.running.size;
  }

  /** Counts the requests that wait. */
  countWaiting(): number {
    return this.queue.count();
  }

  private isWithinShare(request: AdmissionRequest): boolean {
    const count = this.byCustomer.get(request.customer) ?? 0;
    return count < request.customerShare;
  }

  private hasRoom(priority: PriorityClass, limit: number): boolean {
    const reserve = this.demand.computeReserve(priority, limit);
    return (
      this.running.size < limit - this.computeFreeReserve(priority, reserve)
    );
  }

  /** The part of a reserve that urgent requests do not fill already. */
  private computeFreeReserve(priority: PriorityClass, reserve: number): number {
    const urgent = CLASS_ORDER.slice(0, CLASS_ORDER.indexOf(priority));
    const filled = urgent.reduce(
      (sum, c) => sum + (this.byClass.get(c) ?? 0),
      0,
    );
    return Math.max(0, reserve - filled);
  }

  /** A customer may not queue more than its fair share of those who wait. */
  private isOverShare(request: AdmissionRequest): boolean {
    const customers = Math.max(1, this.byCustomer.size);
    const share = Math.ceil((this.running.size + 1) / customers);
    return this.queue.countOf(request.customer) >= share;
  }

  private computeWaitMs(priority: PriorityClass): number {
    return (this.queue.countAhead(priority) + 1) * this.releaseIntervalMs;
  }

  private observeRelease(nowMs: number): void {
    const intervalMs = nowMs - this.releasedAtMs;
    this.releasedAtMs = nowMs;
    // An idle spell says nothing on how fast a full engine ends requests.
    if (this.queue.count() === 0) return;
    const weight = this.releaseIntervalMs === 0 ? 1 : RELEASE_INTERVAL_WEIGHT;
    this.releaseIntervalMs += weight * (intervalMs - this.releaseIntervalMs);
  }

  private start(request: AdmissionRequest): void {
    const {slotId, customer, priority} = request;
    this.running.set(slotId, {customer, priority});
    addCount(this.byCustomer, customer, 1);
    addCount(this.byClass, priority, 1);
  }
}

function addCount<K>(counts: Map<K, number>, key: K, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count <= 0) counts.delete(key);
  else counts.set(key, count);
}
