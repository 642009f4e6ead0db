import {Effect} from 'effect';
import type {ObjectStore} from '../object_store.js';
import type {TableService} from '../table_service.js';
import type {HistoryEntry} from './configuration_revision.js';
import {
  makeOperationKey,
  makeRevisionKey,
  parseEntry,
  REVISION_PREFIX,
} from './configuration_rows.js';
import type {ReadError} from './part_source.js';
import {computeOldestKept, type Retention} from './retention.js';
import {makeSegmentOrder} from './segment.js';
import {PART_PREFIX} from './store_part_source.js';

const MAX_ROWS = 20;
const MAX_OBJECTS = 200;
const CONCURRENT_CALLS = 16;

/**
 * Removes what no kept revision needs, some of it at each call.
 *
 * It may run at any time, several times at once, and be late: names of
 * segments are never used again, and what is removed is older than every
 * revision that is kept or may still be accepted.
 */
export class ConfigurationCleaner {
  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
    private readonly retention: Retention,
  ) {}

  /** Removes rows and segments that are older than what is kept. */
  removeOld(currentRevision: number): Effect.Effect<void, ReadError> {
    const oldest = computeOldestKept(currentRevision, this.retention);
    if (oldest <= 1) return Effect.void;
    return Effect.gen({self: this}, function* () {
      const [row] = yield* this.table.read([makeRevisionKey(oldest)]);
      if (row === undefined) return;
      const {record} = yield* parseEntry(row);
      yield* this.removeSegments(makeSegmentOrder(record.segment));
      yield* this.removeRows(oldest);
    });
  }

  private removeSegments(oldest: string): Effect.Effect<void, ReadError> {
    return Effect.gen({self: this}, function* () {
      const keys = yield* this.objects.list(PART_PREFIX, '', MAX_OBJECTS);
      const old = keys.filter(
        key => makeSegmentOrder(key.slice(PART_PREFIX.length)) < oldest,
      );
      yield* Effect.forEach(old, key => this.objects.remove(key), {
        concurrency: CONCURRENT_CALLS,
        discard: true,
      });
    });
  }

  private removeRows(oldest: number): Effect.Effect<void, ReadError> {
    return Effect.gen({self: this}, function* () {
      const rows = yield* this.table.list(REVISION_PREFIX, '', MAX_ROWS);
      const entries = yield* Effect.forEach(rows, parseEntry);
      const old = entries.filter(({record}) => record.revision < oldest);
      if (old.length === 0) return;
      yield* this.table.transact({
        conditions: [],
        writes: [],
        deletes: old.flatMap(listKeys),
      });
    });
  }
}

function listKeys({record}: HistoryEntry): string[] {
  return [
    makeRevisionKey(record.revision),
    makeOperationKey(record.operationId),
  ];
}
