import {
  CustomerEngineSelector,
  type EngineGroup,
  type CustomerEngineSubset,
} from '@greengagecross/decisions';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {FleetView} from '../placement/fleet_view.js';

/** Finds which engines carry a customer, by the configuration in force. */
export class CustomerShares {
  private readonly chosen = new CustomerEngineSelector();

  constructor(
    private readonly configuration: ConfigurationFollower,
    private readonly fleet: FleetView,
  ) {}

  /** Finds a customer's engines; undefined when any engine may carry it. */
  find(
    customer: string | undefined,
    group: EngineGroup,
    nowMs: number,
  ): CustomerEngineSubset | undefined {
    if (customer === undefined) return undefined;
    const known = this.configuration.getView()?.findCustomer(customer);
    if (known === undefined) return undefined;
    const daemons = this.fleet.listLive(nowMs).length;
    return this.chosen.find(customer, known.maxInFlight, group, daemons);
  }
}
