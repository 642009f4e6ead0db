import type {RoutedCustomer} from '../model/routed_customer.js';

/** Index of customers by API key. */
export class CustomerTable {
  private readonly byKey = new Map<string, RoutedCustomer>();

  constructor(customers: readonly RoutedCustomer[]) {
    for (const customer of customers) {
      for (const key of customer.keys) this.byKey.set(key, customer);
    }
  }

  /** Returns the customer that owns an API key; undefined when unknown. */
  find(key: string): RoutedCustomer | undefined {
    return this.byKey.get(key);
  }
}
