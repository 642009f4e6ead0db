import {Effect} from 'effect';
import type {ObjectStore} from '../object_store.js';
import type {TableService} from '../table_service.js';
import type {HistoryEntry} from './configuration_revision.js';
import {
  makeOperationKey,
  makeRevisionKey,
  parseHistoryEntry,
  REVISION_PREFIX,
} from './configuration_rows.js';
import type {ReadError} from './part_source.js';
import {computeOldestRetained, type Retention} from './retention.js';
import {getSegmentSortKey} from './segment.js';
import {PART_PREFIX} from './store_part_source.js';

const MAX_ROWS_PER_CALL = 20;
const MAX_OBJECTS_PER_CALL = 200;
const MAX_CONCURRENT_CALLS = 16;

/**
 * Removes rows and parts that no retained revision needs.
 *
 * Each call removes a limited number of rows and objects. Calls may be delayed
 * or run concurrently: segment names are never reused, and only data older than
 * every revision that is retained or may still be accepted is removed.
 */
export class ConfigurationCleaner {
  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
    private readonly retention: Retention,
  ) {}

  /** Removes rows and segments older than the oldest retained revision. */
  removeOldRevisions(currentRevision: number): Effect.Effect<void, ReadError> {
    const oldestRevision = computeOldestRetained(
      currentRevision,
      this.retention,
    );
    if (oldestRevision <= 1) return Effect.void;
    return Effect.gen({self: this}, function* () {
      const [row] = yield* this.table.read([makeRevisionKey(oldestRevision)]);
      if (row === undefined) return;
      const {record} = yield* parseHistoryEntry(row);
      yield* this.removeSegments(getSegmentSortKey(record.segment));
      yield* this.removeRows(oldestRevision);
    });
  }

  private removeSegments(
    oldestSortKey: string,
  ): Effect.Effect<void, ReadError> {
    return Effect.gen({self: this}, function* () {
      const keys = yield* this.objects.list(
        PART_PREFIX,
        '',
        MAX_OBJECTS_PER_CALL,
      );
      const oldKeys = keys.filter(
        key => getSegmentSortKey(key.slice(PART_PREFIX.length)) < oldestSortKey,
      );
      yield* Effect.forEach(oldKeys, key => this.objects.remove(key), {
        concurrency: MAX_CONCURRENT_CALLS,
        discard: true,
      });
    });
  }

  private removeRows(oldestRevision: number): Effect.Effect<void, ReadError> {
    return Effect.gen({self: this}, function* () {
      const rows = yield* this.table.list(
        REVISION_PREFIX,
        '',
        MAX_ROWS_PER_CALL,
      );
      const entries = yield* Effect.forEach(rows, parseHistoryEntry);
      const oldEntries = entries.filter(
        ({record}) => record.revision < oldestRevision,
      );
      if (oldEntries.length === 0) return;
      yield* this.table.transact({
        conditions: [],
        writes: [],
        deletes: oldEntries.flatMap(listRowKeys),
      });
    });
  }
}

function listRowKeys({record}: HistoryEntry): string[] {
  return [
    makeRevisionKey(record.revision),
    makeOperationKey(record.operationId),
  ];
}
