import type {PriorityClass} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import type {ClassDemand} from './class_demand.js';
import type {EngineOccupancy} from './engine_occupancy.js';

/** Tells which requests one engine has room for at one moment. */
export class RoomRule {
  private readonly total: number;
  private readonly fairShare: number;
  private readonly headroom: number;
  private readonly reserves = new Map<PriorityClass, number>();
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly occupancy: EngineOccupancy,
    private readonly limit: number,
    private readonly demand: ClassDemand,
  ) {
    const customers = occupancy.countCustomers();
    this.total = occupancy.count();
    this.fairShare = customers < 2 ? Infinity : limit / customers;
    this.headroom = Math.ceil(Math.sqrt(limit));
  }

  /**
   * Tells whether a request may run: urgent classes find their reserve, and a
   * customer over its fair share leaves headroom to the others, so that they
   * need not wait for one of its requests to end.
   */
  has({priority, customer}: AdmissionRequest): boolean {
    const isOver = this.countOfCustomer(customer) >= this.fairShare;
    const kept = Math.max(
      this.findReserve(priority),
      isOver ? this.headroom : 0,
    );
    return this.total < this.limit - kept;
  }

  /** Counts a customer's requests in flight. */
  countOfCustomer(customer: string): number {
    const known = this.counts.get(customer);
    if (known !== undefined) return known;
    const count = this.occupancy.countOfCustomer(customer);
    this.counts.set(customer, count);
    return count;
  }

  private findReserve(priority: PriorityClass): number {
    const known = this.reserves.get(priority);
    if (known !== undefined) return known;
    const {occupancy, limit} = this;
    const reserve = this.demand.computeReserve(priority, occupancy, limit);
    this.reserves.set(priority, reserve);
    return reserve;
  }
}
