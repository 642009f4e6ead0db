import type {CallerLimits} from './caller_limits.js';
import type {ColdService} from './cold_limits.js';
import type {Route} from './route.js';
import type {RoutedCustomer} from './routed_customer.js';

/** One complete version of the configuration. */
export interface RoutingConfiguration {
  /** Increases with each change, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  /** Names of the services. */
  readonly services: readonly string[];
  /** Undefined when requests need no API key. */
  readonly customers?: readonly RoutedCustomer[];
  readonly limits: CallerLimits;
  /** By name of the service; services without a bound are omitted. */
  readonly coldServices?: Readonly<Record<string, ColdService>>;
}
