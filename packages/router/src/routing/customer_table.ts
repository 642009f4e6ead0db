import type {RoutedCustomer} from '../model/routed_customer.js';

/** Finds the customer that holds a key. */
export class CustomerTable {
  private readonly byKey = new Map<string, RoutedCustomer>();

  constructor(customers: readonly RoutedCustomer[]) {
    for (const customer of customers) {
      for (const key of customer.keys) this.byKey.set(key, customer);
    }
  }

  /** Finds the holder of a key. */
  find(key: string): RoutedCustomer | undefined {
    return this.byKey.get(key);
  }
}
