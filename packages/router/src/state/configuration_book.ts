import {Logger} from '@greengagecross/common';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import {CustomerTable} from '../routing/customer_table.js';
import {RouteTable} from '../routing/route_table.js';

const logger = new Logger('configuration');

/** The configuration in force, indexed. */
export interface ConfigurationView {
  readonly configuration: RoutingConfiguration;
  readonly routes: RouteTable;
  /** Undefined when requests need no key. */
  readonly customers?: CustomerTable;
}

/** Holds the newest configuration seen; never an older one. */
export class ConfigurationBook {
  private view: ConfigurationView | undefined;
  private readAtMs = 0;

  /** Takes in a configuration; tells whether it came into force. */
  set(configuration: RoutingConfiguration, nowMs: number): boolean {
    this.readAtMs = nowMs;
    const known = this.view?.configuration.version;
    if (known !== undefined && configuration.version <= known) return false;
    this.view = makeView(configuration);
    logger.log('A configuration is in force.', {
      version: configuration.version,
      before: known,
      routes: configuration.routes.length,
    });
    return true;
  }

  /** Gets the configuration in force; undefined before the first. */
  getView(): ConfigurationView | undefined {
    return this.view;
  }

  /** Gets the version in force; -1 before the first. */
  getVersion(): number {
    return this.view?.configuration.version ?? -1;
  }

  /** Computes the time since it was last confirmed, in milliseconds. */
  computeAgeMs(nowMs: number): number {
    return Math.round(nowMs - this.readAtMs);
  }

  /** Records that the store was asked and had nothing newer. */
  recordConfirmed(nowMs: number): void {
    this.readAtMs = nowMs;
  }
}

function makeView(configuration: RoutingConfiguration): ConfigurationView {
  const routes = new RouteTable(configuration.routes);
  if (configuration.customers === undefined) return {configuration, routes};
  const customers = new CustomerTable(configuration.customers);
  return {configuration, routes, customers};
}
