/** A customer, as the configuration names it. */
export interface RoutedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority?: number;
}
