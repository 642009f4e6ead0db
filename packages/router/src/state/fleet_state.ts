import {Effect, Latch, Option} from 'effect';
import {Logger} from '@greengagecross/common';
import {BackendBook} from './backend_book.js';
import {ConfigurationBook} from './configuration_book.js';

const logger = new Logger('state');

/** What a daemon believes of the configuration and the backend servers. */
export class FleetState {
  readonly configuration = new ConfigurationBook();
  readonly backends = new BackendBook();
  private readonly completed = Latch.makeUnsafe(false);
  private isReached = true;

  /** Records that something was taken in. */
  recordChange(): void {
    if (this.isComplete()) this.completed.openUnsafe();
  }

  /** Records that a daemon which hears the store knows nothing newer. */
  recordConfirmed(nowMs: number): void {
    this.configuration.recordConfirmed(nowMs);
    this.backends.recordConfirmed(nowMs);
  }

  /** Waits until requests can be routed; tells whether they can in time. */
  waitComplete(limitMs: number): Effect.Effect<boolean> {
    return Effect.map(
      Effect.timeoutOption(this.completed.await, limitMs),
      Option.isSome,
    );
  }

  /** Records whether the store answers, with a line on each change. */
  setStoreReached(isReached: boolean, nowMs: number, cause = ''): void {
    if (isReached) this.recordChange();
    if (isReached) this.backends.setSourceBack(nowMs);
    else this.backends.setSourceLost(nowMs);
    if (isReached === this.isReached) return;
    this.isReached = isReached;
    logger.log(
      isReached ? 'The store answers again.' : 'The store does not answer.',
      {
        cause,
        configurationAgeMs: this.configuration.computeAgeMs(nowMs),
        backendsAgeMs: this.backends.computeAgeMs(nowMs),
      },
    );
  }

  /** Tells whether the store answered when it was last asked. */
  isStoreReached(): boolean {
    return this.isReached;
  }

  /** Tells whether requests can be routed at all. */
  isComplete(): boolean {
    return (
      this.configuration.getView() !== undefined &&
      this.backends.getRevision() >= 0
    );
  }
}
