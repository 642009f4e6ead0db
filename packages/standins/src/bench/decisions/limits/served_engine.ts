import {PriorityClass} from '@greengagecross/common';
import {
  Admission,
  EngineAdmitter,
  EngineOccupancy,
  type AdmissionRequest,
} from '@greengagecross/decisions';
import type {EventQueue} from '../event_queue.js';

const ASK_MS = 20;

/** Work that one request is for an engine. */
export interface ServedWork {
  readonly request: AdmissionRequest;
  readonly serviceMs: number;
  readonly onStart: () => void;
  readonly onEnd: () => void;
}

/** An engine behind an owner's admission, in virtual time. */
export abstract class ServedEngine extends EngineOccupancy {
  private readonly running = new Map<string, AdmissionRequest>();

  constructor(
    protected readonly queue: EventQueue,
    protected readonly limit: number,
  ) {
    super();
  }

  /** Offers work; false when it is refused at once. */
  abstract add(work: ServedWork): boolean;

  override count(): number {
    return this.running.size;
  }

  override countOfCustomer(customer: string): number {
    return this.countWhere(request => request.customer === customer);
  }

  override countCustomers(): number {
    const requests = [...this.running.values()];
    return new Set(requests.map(request => request.customer)).size;
  }

  override countOfClass(priority: PriorityClass): number {
    return this.countWhere(request => request.priority === priority);
  }

  protected start(work: ServedWork): void {
    const {request} = work;
    this.running.set(request.slotId, request);
    work.onStart();
    this.queue.schedule(work.serviceMs, () => {
      this.running.delete(request.slotId);
      work.onEnd();
      this.onRoom();
    });
  }

  protected onRoom(): void {}

  private countWhere(
    isCounted: (request: AdmissionRequest) => boolean,
  ): number {
    let count = 0;
    for (const request of this.running.values()) {
      if (isCounted(request)) count += 1;
    }
    return count;
  }
}

/** First come, first served up to the limit; the rest waits in line. */
export class ArrivalOrderEngine extends ServedEngine {
  private readonly waiting: ServedWork[] = [];

  override add(work: ServedWork): boolean {
    if (this.count() < this.limit) this.start(work);
    else this.waiting.push(work);
    return true;
  }

  protected override onRoom(): void {
    const nowMs = this.queue.getNowMs();
    for (;;) {
      const next = this.waiting.shift();
      if (next === undefined) return;
      if (next.request.waitUntilMs <= nowMs) {
        next.onEnd();
        continue;
      }
      this.start(next);
      return;
    }
  }
}

/** The admission that daemons run; requests ask again while they wait. */
export class AdmittedEngine extends ServedEngine {
  private readonly admission = new EngineAdmitter();

  override add(work: ServedWork): boolean {
    const {request} = work;
    const nowMs = this.queue.getNowMs();
    const answer = this.admission.answer(request, this, this.limit, nowMs);
    if (answer === Admission.GRANTED) this.start(work);
    if (answer === Admission.WAITING) {
      this.queue.schedule(ASK_MS, () => this.add(work));
    }
    return answer !== Admission.REFUSED;
  }
}
