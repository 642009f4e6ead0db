import {Clock, Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {PlatformError, TableService} from '@greengagecross/platform';
import {CLAIM_PREFIX, isClaimExpired} from './claim_key.js';

const PAGE_ROWS = 500;
const PAGE_MS = 1000;
const REST_MS = 60_000;
const logger = new Logger('claims');

/** Deletes the rows of keys that no daemon honours any more. */
export class ClaimSweeper {
  /** @param isChosen whether this daemon is the one that sweeps now. */
  constructor(
    private readonly table: TableService,
    private readonly isChosen: () => Effect.Effect<boolean>,
  ) {}

  /** Sweeps a page a second while there is something to delete. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* Effect.sleep(REST_MS);
        if (!(yield* this.isChosen())) continue;
        yield* this.removeExpired().pipe(
          Effect.catch(error =>
            Effect.sync(() =>
              logger.log('Old claims were not deleted.', {
                error: error.message,
              }),
            ),
          ),
        );
      }
    });
  }

  /** Deletes until no expired row is left; gives how many were deleted. */
  removeExpired(): Effect.Effect<number, PlatformError> {
    return Effect.gen({self: this}, function* () {
      let deleted = 0;
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const rows = yield* this.table.list(CLAIM_PREFIX, '', PAGE_ROWS);
        const deletes = rows
          .map(row => row.key)
          .filter(key => isClaimExpired(key, nowMs));
        if (deletes.length > 0) {
          yield* this.table.transact({conditions: [], writes: [], deletes});
        }
        deleted += deletes.length;
        if (deletes.length < PAGE_ROWS) return deleted;
        yield* Effect.sleep(PAGE_MS);
      }
    });
  }
}
