import {Effect, Schema} from 'effect';
import {decodeJson, toError} from '@greengagecross/common';
import {PlatformError} from '../platform_error.js';
import {PlatformFailure} from '../platform_failure.js';
import type {TableService} from '../table_service.js';
import {ABSENT_VERSION} from '../transaction.js';

const ROW_KEY = 'orders/loads';

/** The engines that may load weights from the weight store now. */
export const LoadPermitsSchema = Schema.Struct({
  /** The permits that are held; not to be confused with an engine's load. */
  loads: Schema.Array(
    Schema.Struct({
      service: Schema.NonEmptyString,
      engine: Schema.NonEmptyString,
    }),
  ),
});

/** Permit of one service's engine to load weights. */
export type LoadPermit = (typeof LoadPermitsSchema.Type)['loads'][number];

interface CurrentPermits {
  readonly loads: readonly LoadPermit[];
  readonly version: number;
}

/**
 * Stores the permits to load weights in one table row for all daemons.
 *
 * A permit belongs to a service, not to a daemon: the next holder of the
 * service's lease reads the permit and releases it.
 */
export class LoadPermitStore {
  constructor(private readonly table: TableService) {}

  /** Lists the permits of all services. */
  list(): Effect.Effect<readonly LoadPermit[], PlatformError> {
    return Effect.map(this.read(), current => current.loads);
  }

  /**
   * Acquires a permit while fewer than `limit` permits are held.
   *
   * Returns true also if the permit is already held, and false if the limit is
   * reached or the row changed meanwhile.
   *
   * @param services names of the configured services; permits of services that
   *   are no longer configured are not counted, and are removed when a permit
   *   is added.
   */
  acquire(
    permit: LoadPermit,
    limit: number,
    services: ReadonlySet<string>,
  ): Effect.Effect<boolean, PlatformError> {
    return Effect.flatMap(this.read(), current => {
      const kept = current.loads.filter(held => services.has(held.service));
      if (kept.some(held => isSame(held, permit))) return Effect.succeed(true);
      if (kept.length >= limit) return Effect.succeed(false);
      return this.write([...kept, permit], current.version);
    });
  }

  /**
   * Releases permits; permits that are not held are ignored.
   *
   * Returns false if the row changed meanwhile and nothing was released.
   */
  release(
    permits: readonly LoadPermit[],
  ): Effect.Effect<boolean, PlatformError> {
    return Effect.flatMap(this.read(), current => {
      const kept = current.loads.filter(
        held => !permits.some(permit => isSame(held, permit)),
      );
      if (kept.length === current.loads.length) return Effect.succeed(true);
      return this.write(kept, current.version);
    });
  }

  private read(): Effect.Effect<CurrentPermits, PlatformError> {
    return Effect.flatMap(this.table.read([ROW_KEY]), ([row]) => {
      if (row === undefined) {
        return Effect.succeed({loads: [], version: ABSENT_VERSION});
      }
      return Effect.try({
        try: () => ({
          loads: decodeJson(LoadPermitsSchema, row.value, ROW_KEY).loads,
          version: row.version,
        }),
        catch: thrown =>
          new PlatformError(PlatformFailure.REFUSED, ROW_KEY, toError(thrown)),
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
        conditions: [{key: ROW_KEY, version}],
        writes: [{key: ROW_KEY, value}],
        deletes: [],
      })
      .pipe(Effect.map(result => result.committed));
  }
}

function isSame(a: LoadPermit, b: LoadPermit): boolean {
  return a.service === b.service && a.engine === b.engine;
}
