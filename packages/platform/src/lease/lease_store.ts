import {Effect} from 'effect';
import {decodeJson, makeRandomId, toError} from '@greengagecross/common';
import {PlatformError} from '../platform_error.js';
import {PlatformFailure} from '../platform_failure.js';
import type {TableRow} from '../table_row.js';
import type {TableService} from '../table_service.js';
import {ABSENT_VERSION} from '../transaction.js';
import {
  LeaseValueSchema,
  type LeaseValue,
  type CurrentLease,
} from './lease_row.js';

const KEY_PREFIX = 'lease/';

/**
 * Stores leases in the table service.
 *
 * A stored lease has no expiry time. A process that wants a lease which another
 * process holds measures by its own clock how long the row has not changed.
 */
export class LeaseStore {
  constructor(private readonly table: TableService) {}

  /** Reads the current lease; undefined if it was never acquired. */
  read(name: string): Effect.Effect<CurrentLease | undefined, PlatformError> {
    return Effect.flatMap(this.table.read([KEY_PREFIX + name]), rows =>
      rows[0] === undefined ? Effect.undefined : parseLease(rows[0]),
    );
  }

  /**
   * Acquires a lease if its row has not changed since it was read.
   *
   * Returns undefined if the row has changed. The fencing number increases even
   * if the previous holder is the same.
   *
   * @param current lease as it was read; undefined if there was none.
   */
  acquire(
    name: string,
    holder: string,
    current: CurrentLease | undefined,
  ): Effect.Effect<CurrentLease | undefined, PlatformError> {
    const fencingNumber = (current?.row.fencingNumber ?? 0) + 1;
    const row = {holder, token: makeRandomId(), fencingNumber};
    return this.write(name, row, current?.version ?? ABSENT_VERSION);
  }

  /** Renews a held lease; undefined if its row was changed by another write. */
  renew(
    name: string,
    held: CurrentLease,
  ): Effect.Effect<CurrentLease | undefined, PlatformError> {
    const row = {...held.row, token: makeRandomId()};
    return this.write(name, row, held.version);
  }

  /**
   * Releases a held lease, so that the next holder need not wait.
   *
   * Does nothing if the row was changed by another write.
   */
  release(
    name: string,
    held: CurrentLease,
  ): Effect.Effect<void, PlatformError> {
    const row = {...held.row, holder: '', token: makeRandomId()};
    return Effect.asVoid(this.write(name, row, held.version));
  }

  private write(
    name: string,
    row: LeaseValue,
    version: number,
  ): Effect.Effect<CurrentLease | undefined, PlatformError> {
    const key = KEY_PREFIX + name;
    const value = JSON.stringify(row);
    const written = {row, version: version + 1};
    return this.table
      .transact({
        conditions: [{key, version}],
        writes: [{key, value}],
        deletes: [],
      })
      .pipe(
        Effect.map(result => (result.committed ? written : undefined)),
        Effect.catch(error => this.readBack(name, row, error)),
      );
  }

  /**
   * Checks by the row's token whether a write with an UNCERTAIN result applied.
   *
   * Fails with the error of the write if the row has another token, or if the
   * result was not UNCERTAIN.
   */
  private readBack(
    name: string,
    row: LeaseValue,
    error: PlatformError,
  ): Effect.Effect<CurrentLease | undefined, PlatformError> {
    if (error.failure !== PlatformFailure.UNCERTAIN) return Effect.fail(error);
    return Effect.flatMap(this.read(name), current =>
      current?.row.token === row.token
        ? Effect.succeed(current)
        : Effect.fail(error),
    );
  }
}

function parseLease(row: TableRow): Effect.Effect<CurrentLease, PlatformError> {
  return Effect.try({
    try: () => ({
      row: decodeJson(LeaseValueSchema, row.value, row.key),
      version: row.version,
    }),
    catch: thrown =>
      new PlatformError(PlatformFailure.REFUSED, row.key, toError(thrown)),
  });
}
