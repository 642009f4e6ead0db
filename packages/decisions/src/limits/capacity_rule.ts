import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import type {ClassDemand} from './class_demand.js';
import type {EngineOccupancy} from './engine_occupancy.js';

/** Decides which requests one engine has capacity for at one moment. */
export class CapacityRule {
  private readonly inFlight: number;
  /** Limit divided by the customers in flight; Infinity with fewer than two. */
  private readonly fairShare: number;
  /** Slots that a customer over its fair share leaves free. */
  private readonly fairnessReserve: number;
  private readonly reserveByClass = new Map<PriorityClass, number>();
  private readonly countByCustomer = new Map<string, number>();

  constructor(
    private readonly occupancy: EngineOccupancy,
    private readonly limit: number,
    private readonly demand: ClassDemand,
  ) {
    const customers = occupancy.countCustomers();
    this.inFlight = occupancy.count();
    this.fairShare = customers < 2 ? Infinity : limit / customers;
    this.fairnessReserve = Math.ceil(Math.sqrt(limit));
  }

  /**
   * Returns whether a request may run now. The slots reserved for more urgent
   * classes stay free. For a customer at or over its fair share the reserve is
   * at least `fairnessReserve` slots, so that other customers need not wait for
   * its requests to end.
   */
  hasCapacity({priority, customer}: AdmissionRequest): boolean {
    const isOverShare = this.countOfCustomer(customer) >= this.fairShare;
    const reserved = Math.max(
      this.findReserve(priority),
      isOverShare ? this.fairnessReserve : 0,
    );
    return this.inFlight < this.limit - reserved;
  }

  /** Counts a customer's requests in flight on the engine. */
  countOfCustomer(customer: string): number {
    const cached = this.countByCustomer.get(customer);
    if (cached !== undefined) return cached;
    const count = this.occupancy.countOfCustomer(customer);
    this.countByCustomer.set(customer, count);
    return count;
  }

  private findReserve(priority: PriorityClass): number {
    const cached = this.reserveByClass.get(priority);
    if (cached !== undefined) return cached;
    const {occupancy, limit} = this;
    const reserve = this.demand.computeReserve(priority, occupancy, limit);
    this.reserveByClass.set(priority, reserve);
    return reserve;
  }
}
