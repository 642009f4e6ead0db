import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {LoadPermitStore, PlatformError} from '@greengagecross/platform';
import type {OrderedService} from './ordered_service.js';

const logger = new Logger('orders');

/**
 * Limits how many engines load from the weight store at once, over all
 * services: an engine loads only while the platform's table holds a permit
 * for it.
 */
export class LoadLimiter {
  /** Ids of engines known to hold permits; undefined before the first read. */
  private permittedEngines: Set<string> | undefined;
  private fencingNumber: number | undefined;

  constructor(private readonly permits: LoadPermitStore) {}

  /**
   * Reads this service's stored permits again when the lease changed hands,
   * which a new fencing number shows.
   */
  update(name: string, fencingNumber: number | undefined): Effect.Effect<void> {
    if (fencingNumber !== this.fencingNumber) this.permittedEngines = undefined;
    this.fencingNumber = fencingNumber;
    if (this.permittedEngines !== undefined) return Effect.void;
    return this.permits.list().pipe(
      Effect.map(loads => {
        const own = loads.filter(load => load.service === name);
        this.permittedEngines = new Set(own.map(load => load.engine));
      }),
      Effect.catch(logFailure),
    );
  }

  /** Acquires a permit for an engine; false if refused or on a store error. */
  acquire(service: OrderedService, engine: string): Effect.Effect<boolean> {
    const {name, desired, services} = service;
    return this.permits
      .acquire({service: name, engine}, desired.loadsAtOnce, services)
      .pipe(
        Effect.tap(granted =>
          Effect.sync(() => {
            if (granted) this.permittedEngines?.add(engine);
          }),
        ),
        Effect.catch(error => Effect.as(logFailure(error), false)),
      );
  }

  /** Releases the permits of engines that no longer load. */
  release(
    name: string,
    isLoading: (engine: string) => boolean,
  ): Effect.Effect<void> {
    const {permittedEngines} = this;
    const finished = [...(permittedEngines ?? [])].filter(
      engine => !isLoading(engine),
    );
    if (finished.length === 0) return Effect.void;
    const loads = finished.map(engine => ({service: name, engine}));
    return this.permits.release(loads).pipe(
      Effect.map(released => {
        if (!released) return;
        for (const engine of finished) permittedEngines?.delete(engine);
      }),
      Effect.catch(logFailure),
    );
  }
}

function logFailure(error: PlatformError): Effect.Effect<void> {
  return Effect.sync(() =>
    logger.log('The load permits cannot be read or written.', {
      error: error.message,
    }),
  );
}
