import {
  CustomerEngineSelector,
  type EngineGroup,
  type CustomerEngineSubset,
} from '@greengagecross/decisions';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {FleetView} from '../placement/fleet_view.js';

/**
 * Finds the engines that serve a customer under the current configuration. This
 * daemon's share of a customer's limit is applied by `CustomerRequestLimiter`.
 */
export class CustomerEngineSubsets {
  private readonly selector = new CustomerEngineSelector();

  constructor(
    private readonly configuration: ConfigurationFollower,
    private readonly fleet: FleetView,
  ) {}

  /**
   * Finds the engines of a group that serve a customer; undefined when any
   * engine may serve the customer, also when the customer is undefined or not
   * configured. `nowMs` is in milliseconds since the epoch.
   */
  find(
    customer: string | undefined,
    group: EngineGroup,
    nowMs: number,
  ): CustomerEngineSubset | undefined {
    if (customer === undefined) return undefined;
    const configured = this.configuration.getView()?.findCustomer(customer);
    if (configured === undefined) return undefined;
    const daemons = this.fleet.listLive(nowMs).length;
    return this.selector.find(customer, configured.maxInFlight, group, daemons);
  }
}
