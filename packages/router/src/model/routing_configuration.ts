import type {CallerLimits} from './caller_limits.js';
import type {Route} from './route.js';
import type {RoutedCustomer} from './routed_customer.js';

/** One version of the configuration, whole. */
export interface RoutingConfiguration {
  /** Grows with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  /** Names of the services. */
  readonly services: readonly string[];
  /** Undefined when requests need no key. */
  readonly customers?: readonly RoutedCustomer[];
  readonly limits: CallerLimits;
}
