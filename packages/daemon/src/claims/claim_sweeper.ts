import {Clock, Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {PlatformError, TableService} from '@greengagecross/platform';
import {CLAIM_PREFIX, isRowDeletable} from './claim_key.js';

const PAGE_ROWS = 500;
const PAGE_INTERVAL_MS = 1000;
const SWEEP_INTERVAL_MS = 60_000;
const logger = new Logger('claims');

/** Deletes the rows of expired idempotency keys. */
export class ClaimSweeper {
  /** @param isChosen returns whether this daemon is the one that sweeps. */
  constructor(
    private readonly table: TableService,
    private readonly isChosen: () => Effect.Effect<boolean>,
  ) {}

  /**
   * Sweeps once a minute while this daemon is chosen, at no more than
   * `PAGE_ROWS` rows a second, for as long as the daemon runs. Errors are
   * logged; the next sweep retries.
   */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* Effect.sleep(SWEEP_INTERVAL_MS);
        if (!(yield* this.isChosen())) continue;
        yield* this.removeExpired().pipe(
          Effect.catch(error =>
            Effect.sync(() =>
              logger.log('Expired claims could not be deleted.', {
                error: error.message,
              }),
            ),
          ),
        );
      }
    });
  }

  /** Deletes every expired row; returns the number of deleted rows. */
  removeExpired(): Effect.Effect<number, PlatformError> {
    return Effect.gen({self: this}, function* () {
      let deleted = 0;
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const rows = yield* this.table.list(CLAIM_PREFIX, '', PAGE_ROWS);
        const deletes = rows
          .map(row => row.key)
          .filter(key => isRowDeletable(key, nowMs));
        if (deletes.length > 0) {
          yield* this.table.transact({conditions: [], writes: [], deletes});
        }
        deleted += deletes.length;
        // Rows are listed oldest first, so later pages hold no expired rows.
        if (deletes.length < PAGE_ROWS) return deleted;
        yield* Effect.sleep(PAGE_INTERVAL_MS);
      }
    });
  }
}
