import {Effect, Latch, Option} from 'effect';
import {Logger} from '@greengagecross/common';
import {BackendRegistry} from './backend_registry.js';
import {CurrentConfiguration} from './current_configuration.js';
import {EvacuatedZones} from './evacuated_zones.js';

const logger = new Logger('state');

/**
 * A daemon's copy of the configuration, the list of backend servers and the
 * evacuated availability zones. Each `nowMs` is a time on the monotonic clock.
 */
export class FleetState {
  readonly configuration: CurrentConfiguration;
  readonly backends = new BackendRegistry();
  readonly evacuated = new EvacuatedZones();
  private readonly completeLatch = Latch.makeUnsafe(false);
  private wasStoreReached = true;
  /** The zones that were last checked for zones without servers. */
  private checkedZones: readonly string[] = [];

  /** @param onActivated called when a configuration becomes active */
  constructor(onActivated?: (lagMs: number) => void) {
    this.configuration = new CurrentConfiguration(onActivated);
  }

  /** Records an update; resumes waiting requests once the state is complete. */
  recordUpdate(): void {
    if (this.isComplete()) this.completeLatch.openUnsafe();
  }

  /**
   * Records a confirmation by a peer that reaches the store and has nothing newer.
   *
   * @param version the peer's configuration: it confirms no other
   */
  recordConfirmed(version: number, nowMs: number): void {
    const {configuration} = this;
    if (version === configuration.getVersion()) {
      configuration.recordConfirmed(nowMs);
    }
    this.backends.recordConfirmed(nowMs);
    this.evacuated.recordConfirmed(nowMs);
  }

  /** Removes expired entries; logs evacuated zones that no server is in. */
  update(nowMs: number): void {
    this.backends.removeExpired(nowMs);
    this.evacuated.removeExpired(nowMs);
    this.checkZones();
  }

  /**
   * Waits until requests can be routed.
   *
   * @return whether the state became complete within the timeout
   */
  waitUntilComplete(timeoutMs: number): Effect.Effect<boolean> {
    return Effect.map(
      Effect.timeoutOption(this.completeLatch.await, timeoutMs),
      Option.isSome,
    );
  }

  /** Records whether the store is reachable, and logs each change. */
  setStoreReached(isReached: boolean, nowMs: number, cause = ''): void {
    if (isReached) this.recordUpdate();
    if (isReached) this.backends.setStoreReachable(nowMs);
    else this.backends.setStoreUnreachable();
    if (isReached === this.wasStoreReached) return;
    this.wasStoreReached = isReached;
    logger.log(
      isReached ? 'The store is reachable again.' : 'The store is unreachable.',
      {
        cause,
        configurationAgeMs: this.configuration.computeAgeMs(nowMs),
        backendsAgeMs: this.backends.computeAgeMs(nowMs),
      },
    );
  }

  /** Returns the highest era of the store that this daemon's state has. */
  getStoreEra(): number {
    const {backends, evacuated} = this;
    return Math.max(backends.getVersion().era, evacuated.getSet().era);
  }

  /** Returns whether the last store call succeeded; true before the first. */
  isStoreReached(): boolean {
    return this.wasStoreReached;
  }

  /**
   * Returns whether a configuration, a backend list and the evacuated
   * availability zones have been received.
   */
  isComplete(): boolean {
    return (
      this.configuration.getView() !== undefined &&
      this.backends.getRevision() >= 0 &&
      this.evacuated.hasLearned()
    );
  }

  /** Describes the versions in use and their ages for a log line. */
  describe(nowMs: number): Record<string, string | number> {
    const {configuration, backends, evacuated} = this;
    const newer = configuration.advertised.getNewer();
    return {
      configuration: configuration.getVersion(),
      configurationAgeMs: configuration.computeAgeMs(nowMs),
      ...(newer === undefined ? {} : {newerConfiguration: newer}),
      configurationLagMs: configuration.advertised.computeLagMs(nowMs),
      backends: backends.getRevision(),
      backendsAgeMs: backends.computeAgeMs(nowMs),
      ...evacuated.describe(nowMs),
    };
  }

  private checkZones(): void {
    const zones = this.evacuated.listZones();
    if (zones === this.checkedZones || !this.isComplete()) return;
    this.checkedZones = zones;
    const servers = [...this.backends.listIds()].map(id =>
      this.backends.find(id),
    );
    for (const zone of zones) {
      if (servers.some(server => server?.availabilityZone === zone)) continue;
      logger.log('An evacuated availability zone has no backend servers.', {
        zone,
      });
    }
  }
}
