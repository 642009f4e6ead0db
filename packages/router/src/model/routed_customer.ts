/** A customer in the configuration. */
export interface RoutedCustomer {
  readonly name: string;
  /** API keys of the customer. */
  readonly keys: readonly string[];
  /** Overrides the route's priority; undefined when not configured. */
  readonly priority?: number;
}
