import {Effect, Schema} from 'effect';
import {decodeJson, toError} from '@greengagecross/common';
import {PlatformError} from '../platform_error.js';
import {PlatformFailure} from '../platform_failure.js';
import type {TableService} from '../table_service.js';
import {ABSENT_VERSION} from '../transaction.js';

const KEY = 'orders/loads';

/** The engines that may load from the weight store now. */
export const LoadPermitsSchema = Schema.Struct({
  loads: Schema.Array(
    Schema.Struct({
      service: Schema.NonEmptyString,
      engine: Schema.NonEmptyString,
    }),
  ),
});

/** One engine's permit to load. */
export type LoadPermit = (typeof LoadPermitsSchema.Type)['loads'][number];

interface StandingPermits {
  readonly loads: readonly LoadPermit[];
  readonly version: number;
}

/**
 * Permits to load weights, one row for the whole fleet.
 *
 * A permit belongs to a service, not to a daemon: who holds the service's lease
 * next finds it and gives it back.
 */
export class LoadPermits {
  constructor(private readonly table: TableService) {}

  /** Lists the permits of all services. */
  list(): Effect.Effect<readonly LoadPermit[], PlatformError> {
    return Effect.map(this.read(), standing => standing.loads);
  }

  /**
   * Takes a permit while fewer than `limit` stand; true also when it stands.
   *
   * @param services those that there are; permits of others are dropped.
   */
  acquire(
    permit: LoadPermit,
    limit: number,
    services: ReadonlySet<string>,
  ): Effect.Effect<boolean, PlatformError> {
    return Effect.flatMap(this.read(), standing => {
      const kept = standing.loads.filter(load => services.has(load.service));
      if (kept.some(load => isSame(load, permit))) return Effect.succeed(true);
      if (kept.length >= limit) return Effect.succeed(false);
      return this.write([...kept, permit], standing.version);
    });
  }

  /** Gives permits back; false when the row changed meanwhile. */
  release(
    permits: readonly LoadPermit[],
  ): Effect.Effect<boolean, PlatformError> {
    return Effect.flatMap(this.read(), standing => {
      const kept = standing.loads.filter(
        load => !permits.some(permit => isSame(load, permit)),
      );
      if (kept.length === standing.loads.length) return Effect.succeed(true);
      return this.write(kept, standing.version);
    });
  }

  private read(): Effect.Effect<StandingPermits, PlatformError> {
    return Effect.flatMap(this.table.read([KEY]), ([row]) => {
      if (row === undefined) {
        return Effect.succeed({loads: [], version: ABSENT_VERSION});
      }
      return Effect.try({
        try: () => ({
          loads: decodeJson(LoadPermitsSchema, row.value, KEY).loads,
          version: row.version,
        }),
        catch: thrown =>
          new PlatformError(PlatformFailure.REFUSED, KEY, toError(thrown)),
      });
    });
  }

  private write(
    loads: readonly LoadPermit[],
    version: number,
  ): Effect.Effect<boolean, PlatformError> {
    const value = JSON.stringify({loads});
    return this.table
      .transact({
        conditions: [{key: KEY, version}],
        writes: [{key: KEY, value}],
        deletes: [],
      })
      .pipe(Effect.map(result => result.committed));
  }
}

function isSame(a: LoadPermit, b: LoadPermit): boolean {
  return a.service === b.service && a.engine === b.engine;
}
