import type {PriorityClass} from '@greengagecross/common';

/** The requests in flight on one engine, counted in three ways. */
export abstract class EngineOccupancy {
  /** Counts all of them. */
  abstract count(): number;

  /** Counts one customer's. */
  abstract countOfCustomer(customer: string): number;

  /** Counts the customers that have at least one. */
  abstract countCustomers(): number;

  /** Counts those of one class. */
  abstract countOfClass(priority: PriorityClass): number;
}
