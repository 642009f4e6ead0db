import type {PriorityClass} from '@greengagecross/common';

/** Counts the requests in flight on one engine. */
export abstract class EngineOccupancy {
  /** Counts all requests in flight. */
  abstract count(): number;

  /** Counts the requests of one customer; 0 for an unknown customer. */
  abstract countOfCustomer(customer: string): number;

  /** Counts the customers with at least one request in flight. */
  abstract countCustomers(): number;

  /** Counts the requests of one priority class. */
  abstract countOfClass(priority: PriorityClass): number;
}
