import {Effect, Latch, Option} from 'effect';
import {Logger} from '@greengagecross/common';
import {BackendRegistry} from './backend_registry.js';
import {CurrentConfiguration} from './current_configuration.js';

const logger = new Logger('state');

/** A daemon's copy of the configuration and the list of backend servers. */
export class FleetState {
  readonly configuration = new CurrentConfiguration();
  readonly backends = new BackendRegistry();
  private readonly completeLatch = Latch.makeUnsafe(false);
  private wasStoreReached = true;

  /** Records an update; wakes waiting requests once the state is complete. */
  recordUpdate(): void {
    if (this.isComplete()) this.completeLatch.openUnsafe();
  }

  /** Records that a daemon with access to the store holds nothing newer. */
  recordConfirmed(nowMs: number): void {
    this.configuration.recordConfirmed(nowMs);
    this.backends.recordConfirmed(nowMs);
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
    if (isReached) this.backends.setSourceReachable(nowMs);
    else this.backends.setSourceUnreachable(nowMs);
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

  /** Returns whether the last call to the store succeeded. */
  isStoreReached(): boolean {
    return this.wasStoreReached;
  }

  /** Returns whether a configuration and a backend list have been received. */
  isComplete(): boolean {
    return (
      this.configuration.getView() !== undefined &&
      this.backends.getRevision() >= 0
    );
  }
}
