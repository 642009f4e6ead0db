import {Effect} from 'effect';
import {decodeJson, makeRequestId, toError} from '@greengagecross/common';
import {PlatformError} from '../platform_error.js';
import {PlatformFailure} from '../platform_failure.js';
import type {TableRow} from '../table_row.js';
import type {TableService} from '../table_service.js';
import {ABSENT_VERSION} from '../transaction.js';
import {
  LeaseRowSchema,
  type LeaseRow,
  type StandingLease,
} from './lease_row.js';

const PREFIX = 'lease/';

/**
 * Leases in the table service.
 *
 * The store knows no time: who wants a lease that stands decides by its own
 * clock how long it has not changed.
 */
export class LeaseStore {
  constructor(private readonly table: TableService) {}

  /** Reads a lease; undefined before its first holder. */
  read(name: string): Effect.Effect<StandingLease | undefined, PlatformError> {
    return Effect.flatMap(this.table.read([PREFIX + name]), rows =>
      rows[0] === undefined ? Effect.undefined : parseLease(rows[0]),
    );
  }

  /**
   * Takes a lease over from what stands; undefined when it has changed.
   *
   * A lease that the same holder had before gets a new fencing number too.
   */
  take(
    name: string,
    holder: string,
    standing: StandingLease | undefined,
  ): Effect.Effect<StandingLease | undefined, PlatformError> {
    const fencingNumber = (standing?.row.fencingNumber ?? 0) + 1;
    const row = {holder, token: makeRequestId(), fencingNumber};
    return this.write(name, row, standing?.version ?? ABSENT_VERSION);
  }

  /** Renews a lease; undefined when it is no longer this holder's. */
  renew(
    name: string,
    held: StandingLease,
  ): Effect.Effect<StandingLease | undefined, PlatformError> {
    const row = {...held.row, token: makeRequestId()};
    return this.write(name, row, held.version);
  }

  /** Releases a lease, so that the next holder need not wait. */
  release(
    name: string,
    held: StandingLease,
  ): Effect.Effect<void, PlatformError> {
    const row = {...held.row, holder: '', token: makeRequestId()};
    return Effect.asVoid(this.write(name, row, held.version));
  }

  private write(
    name: string,
    row: LeaseRow,
    version: number,
  ): Effect.Effect<StandingLease | undefined, PlatformError> {
    const key = PREFIX + name;
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

  /** After a lost reply, the row's token tells whether the write applied. */
  private readBack(
    name: string,
    row: LeaseRow,
    error: PlatformError,
  ): Effect.Effect<StandingLease | undefined, PlatformError> {
    if (error.failure !== PlatformFailure.UNCERTAIN) return Effect.fail(error);
    return Effect.flatMap(this.read(name), standing =>
      standing?.row.token === row.token
        ? Effect.succeed(standing)
        : Effect.fail(error),
    );
  }
}

function parseLease(
  row: TableRow,
): Effect.Effect<StandingLease, PlatformError> {
  return Effect.try({
    try: () => ({
      row: decodeJson(LeaseRowSchema, row.value, row.key),
      version: row.version,
    }),
    catch: thrown =>
      new PlatformError(PlatformFailure.REFUSED, row.key, toError(thrown)),
  });
}
