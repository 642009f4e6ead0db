import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {
  ConfigurationError,
  ConfigurationStore,
  PlatformError,
} from '@greengagecross/platform';
import {ConfigurationView} from './configuration_view.js';

const logger = new Logger('configuration');

/** Keeps the newest accepted configuration; its revision never falls. */
export class ConfigurationFollower {
  private view: ConfigurationView | undefined;
  private isStoreReachable = false;

  constructor(
    private readonly store: ConfigurationStore,
    private readonly pollMs: number,
  ) {}

  /** Gets the configuration in force, or undefined before the first. */
  getView(): ConfigurationView | undefined {
    return this.view;
  }

  /** Tells whether the last poll reached the store. */
  isCurrent(): boolean {
    return this.isStoreReachable;
  }

  /** Polls the store for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        this.poll().pipe(Effect.catch(error => this.recordFailure(error))),
        Effect.sleep(this.pollMs),
      ),
    );
  }

  /** Polls once; an older revision than the one in force is ignored. */
  poll(): Effect.Effect<void, PlatformError | ConfigurationError> {
    return Effect.gen({self: this}, function* () {
      const record = yield* this.store.readCurrent();
      this.isStoreReachable = true;
      if (record === undefined) return;
      if (record.revision <= (this.view?.revision ?? 0)) return;
      const accepted = yield* this.store.readConfiguration(
        record,
        this.view?.accepted,
      );
      this.view = new ConfigurationView(accepted);
      logger.log('A configuration is in force.', {revision: record.revision});
    });
  }

  private recordFailure(
    error: PlatformError | ConfigurationError,
  ): Effect.Effect<void> {
    return Effect.sync(() => {
      if (this.isStoreReachable) {
        logger.log('The configuration cannot be read.', {error: error.message});
      }
      this.isStoreReachable = false;
    });
  }
}
