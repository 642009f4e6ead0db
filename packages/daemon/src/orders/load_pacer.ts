import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {LoadPermitStore, PlatformError} from '@greengagecross/platform';
import type {OrderedService} from './ordered_service.js';

const logger = new Logger('orders');

/** Paces one service's loads from the weight store with those of all others. */
export class LoadPacer {
  /** Engines whose permits are known to stand; undefined before it was read. */
  private permitted: Set<string> | undefined;
  private fencingNumber: number | undefined;

  constructor(private readonly permits: LoadPermitStore) {}

  /** Reads the permits of the holder before, once for each fencing number. */
  update(name: string, fencingNumber: number | undefined): Effect.Effect<void> {
    if (fencingNumber !== this.fencingNumber) this.permitted = undefined;
    this.fencingNumber = fencingNumber;
    if (this.permitted !== undefined) return Effect.void;
    return this.permits.list().pipe(
      Effect.map(loads => {
        const own = loads.filter(load => load.service === name);
        this.permitted = new Set(own.map(load => load.engine));
      }),
      Effect.catch(logFailure),
    );
  }

  /** Tells whether an engine may load now; takes its permit for it. */
  acquire(service: OrderedService, engine: string): Effect.Effect<boolean> {
    const {name, desired, services} = service;
    return this.permits
      .acquire({service: name, engine}, desired.loadsAtOnce, services)
      .pipe(
        Effect.tap(granted =>
          Effect.sync(() => {
            if (granted) this.permitted?.add(engine);
          }),
        ),
        Effect.catch(error => Effect.as(logFailure(error), false)),
      );
  }

  /** Gives back the permits of engines that no longer load. */
  release(
    name: string,
    isLoading: (engine: string) => boolean,
  ): Effect.Effect<void> {
    const {permitted} = this;
    const done = [...(permitted ?? [])].filter(engine => !isLoading(engine));
    if (done.length === 0) return Effect.void;
    const loads = done.map(engine => ({service: name, engine}));
    return this.permits.release(loads).pipe(
      Effect.map(released => {
        if (!released) return;
        for (const engine of done) permitted?.delete(engine);
      }),
      Effect.catch(logFailure),
    );
  }
}

function logFailure(error: PlatformError): Effect.Effect<void> {
  return Effect.sync(() =>
    logger.log('The permits to load cannot be read or written.', {
      error: error.message,
    }),
  );
}
