import {Effect, Latch} from 'effect';
import {Logger} from '@greengagecross/common';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import {CustomerTable} from '../routing/customer_table.js';
import {RouteTable} from '../routing/route_table.js';
import {AdvertisedVersions} from './advertised_versions.js';

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
 * or a peer that reaches the store, holds the active one; never while running
 * peers advertise a newer one. Each `nowMs` is a time on the monotonic clock.
 */
export class CurrentConfiguration {
  readonly advertised = new AdvertisedVersions();
  private view: ConfigurationView | undefined;
  private confirmedAtMs = 0;
  /** Opened by the next activation, which replaces it. */
  private nextActivation = Latch.makeUnsafe(false);

  /** @param onActivated called with the lag that an activation ended or reduced */
  constructor(
    private readonly onActivated: (lagMs: number) => void = () => undefined,
  ) {}

  /**
   * Activates a configuration if its version is newer. Records a confirmation,
   * whatever the version.
   *
   * @return whether the configuration became active
   */
  set(configuration: RoutingConfiguration, nowMs: number): boolean {
    const current = this.view?.configuration.version;
    if (current !== undefined && configuration.version <= current) {
      this.recordConfirmed(nowMs);
      return false;
    }
    this.view = makeView(configuration);
    const lagMs = this.advertised.computeLagMs(nowMs);
    this.advertised.setActive(configuration.version);
    this.recordConfirmed(nowMs);
    logger.log('A configuration became active.', {
      version: configuration.version,
      before: current,
      routes: configuration.routes.length,
      lagMs,
    });
    this.onActivated(lagMs);
    this.nextActivation.openUnsafe();
    this.nextActivation = Latch.makeUnsafe(false);
    return true;
  }

  /** Waits until the next configuration becomes active, at most for a time. */
  waitUntilActivated(timeoutMs: number): Effect.Effect<void> {
    return Effect.asVoid(
      Effect.timeoutOption(this.nextActivation.await, timeoutMs),
    );
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

  /** Records a confirmation, unless running peers advertise a newer version. */
  recordConfirmed(nowMs: number): void {
    if (!this.advertised.isBehind()) this.confirmedAtMs = nowMs;
  }
}

function makeView(configuration: RoutingConfiguration): ConfigurationView {
  const routes = new RouteTable(configuration.routes);
  if (configuration.customers === undefined) return {configuration, routes};
  const customers = new CustomerTable(configuration.customers);
  return {configuration, routes, customers};
}
