import {Logger} from '@greengagecross/common';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import {CustomerTable} from '../routing/customer_table.js';
import {RouteTable} from '../routing/route_table.js';

const logger = new Logger('configuration');

/** The active configuration with its look-up tables. */
export interface ConfigurationView {
  readonly configuration: RoutingConfiguration;
  readonly routes: RouteTable;
  /** Undefined when requests need no API key. */
  readonly customers?: CustomerTable;
}

/**
 * Holds the active configuration; never replaces it by an older version. The
 * configuration is confirmed whenever a version arrives, and whenever the store,
 * or a peer that reaches the store, holds nothing newer. Each `nowMs` is a time
 * on the monotonic clock.
 */
export class CurrentConfiguration {
  private view: ConfigurationView | undefined;
  private confirmedAtMs = 0;

  /**
   * Activates a configuration if its version is newer. Records a confirmation,
   * whatever the version.
   *
   * @return whether the configuration became active
   */
  set(configuration: RoutingConfiguration, nowMs: number): boolean {
    this.confirmedAtMs = nowMs;
    const current = this.view?.configuration.version;
    if (current !== undefined && configuration.version <= current) return false;
    this.view = makeView(configuration);
    logger.log('A configuration became active.', {
      version: configuration.version,
      before: current,
      routes: configuration.routes.length,
    });
    return true;
  }

  /** Returns the active configuration; undefined before the first. */
  getView(): ConfigurationView | undefined {
    return this.view;
  }

  /** Returns the active version; -1 before the first. */
  getVersion(): number {
    return this.view?.configuration.version ?? -1;
  }

  /** Computes the time since the last confirmation, in milliseconds. */
  computeAgeMs(nowMs: number): number {
    return Math.round(nowMs - this.confirmedAtMs);
  }

  /** Records a confirmation of the configuration. */
  recordConfirmed(nowMs: number): void {
    this.confirmedAtMs = nowMs;
  }
}

function makeView(configuration: RoutingConfiguration): ConfigurationView {
  const routes = new RouteTable(configuration.routes);
  if (configuration.customers === undefined) return {configuration, routes};
  const customers = new CustomerTable(configuration.customers);
  return {configuration, routes, customers};
}
