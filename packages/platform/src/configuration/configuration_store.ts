import {Effect} from 'effect';
import type {Service} from '@greengagecross/common';
import type {ObjectStore} from '../object_store.js';
import type {PlatformError} from '../platform_error.js';
import type {TableRow} from '../table_row.js';
import type {TableService} from '../table_service.js';
import {ABSENT_VERSION} from '../transaction.js';
import {AcceptOutcome, type AcceptResult} from './accept_result.js';
import type {AcceptedConfiguration} from './accepted_configuration.js';
import type {ConfigurationOffer} from './configuration_offer.js';
import {ConfigurationCleaner} from './configuration_cleaner.js';
import {ConfigurationReader} from './configuration_reader.js';
import type {
  ConfigurationRevision,
  HistoryEntry,
} from './configuration_revision.js';
import {
  CURRENT_KEY,
  makeOperationKey,
  makeRevisionKey,
  makeAcceptTransaction,
  parseHistoryEntry,
  parseRecord,
  parseValue,
  REVISION_PREFIX,
} from './configuration_rows.js';
import {
  FallbackPartSource,
  makePackParts,
  PackedPartSource,
  PackIndexSchema,
  readPacks,
  type PackIndex,
} from './part_pack.js';
import type {PartSource, ReadError} from './part_source.js';
import {computeOldestRetained, DEFAULT_RETENTION} from './retention.js';
import {makeSegmentName} from './segment.js';
import {StorePartSource} from './store_part_source.js';

const MAX_ENTRIES = 100;

/** Reads and accepts configurations in the table service and object store. */
export class ConfigurationStore {
  private readonly reader = new ConfigurationReader();
  private readonly cleaner: ConfigurationCleaner;

  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
    private readonly retention = DEFAULT_RETENTION,
  ) {
    this.cleaner = new ConfigurationCleaner(table, objects, retention);
  }

  /** Returns whether a change may be based on a revision (0: before any). */
  isRetained(revision: number, currentRevision: number): boolean {
    const oldest = computeOldestRetained(currentRevision, this.retention);
    return revision >= oldest || (revision === 0 && oldest === 1);
  }

  /** Removes a limited number of rows and parts of unretained revisions. */
  removeOldRevisions(currentRevision: number): Effect.Effect<void, ReadError> {
    return this.cleaner.removeOldRevisions(currentRevision);
  }

  /** Reads the record of the current revision; undefined before the first. */
  readCurrent(): Effect.Effect<ConfigurationRevision | undefined, ReadError> {
    return Effect.flatMap(this.readRow(CURRENT_KEY), row =>
      row === undefined ? Effect.undefined : parseRecord(row),
    );
  }

  /** Reads a record's configuration, reusing the parts of an earlier one. */
  readConfiguration(
    record: ConfigurationRevision,
    earlier?: AcceptedConfiguration,
  ): Effect.Effect<AcceptedConfiguration, ReadError> {
    return Effect.gen({self: this}, function* () {
      const source =
        earlier === undefined
          ? yield* this.makePackedSource(record, index => index.configuration)
          : this.makeLazySource(record, index => index.configuration);
      const {digest} = record;
      const index = yield* this.reader.read(digest, source, earlier?.index);
      return {record, index};
    });
  }

  /** Reads only the services of a record's configuration. */
  readServices(
    record: ConfigurationRevision,
  ): Effect.Effect<readonly Service[], ReadError> {
    const source = this.makeLazySource(record, index => index.configuration);
    return this.reader.readServices(record.digest, source);
  }

  /** Makes the source of a record's answers; `isLazy` reads parts singly. */
  makeAnswersSource(
    record: ConfigurationRevision,
    isLazy = false,
  ): Effect.Effect<PartSource, ReadError> {
    const choose = (index: PackIndex): readonly string[] => index.answers;
    return isLazy
      ? Effect.succeed(this.makeLazySource(record, choose))
      : this.makePackedSource(record, choose);
  }

  /** Reads the history entry of a revision; undefined if it is absent. */
  readRevision(
    revision: number,
  ): Effect.Effect<HistoryEntry | undefined, ReadError> {
    return Effect.flatMap(this.readRow(makeRevisionKey(revision)), row =>
      row === undefined ? Effect.undefined : parseHistoryEntry(row),
    );
  }

  /** Lists at most the newest 100 revisions after a given one, newest first. */
  listHistory(after = 0): Effect.Effect<readonly HistoryEntry[], ReadError> {
    return Effect.gen({self: this}, function* () {
      const current = yield* this.readCurrent();
      if (current === undefined) return [];
      const first = Math.max(after, current.revision - MAX_ENTRIES);
      const start = makeRevisionKey(first);
      const rows = yield* this.table.list(REVISION_PREFIX, start, MAX_ENTRIES);
      const entries = yield* Effect.forEach(rows, parseHistoryEntry);
      return entries.reverse();
    });
  }

  /** Lists all stored revisions after a given one, newest first. */
  listSince(after: number): Effect.Effect<readonly HistoryEntry[], ReadError> {
    return Effect.gen({self: this}, function* () {
      const entries: HistoryEntry[] = [];
      let start = makeRevisionKey(after);
      for (;;) {
        const rows = yield* this.table.list(
          REVISION_PREFIX,
          start,
          MAX_ENTRIES,
        );
        entries.push(...(yield* Effect.forEach(rows, parseHistoryEntry)));
        if (rows.length < MAX_ENTRIES) return entries.reverse();
        start = rows.at(-1)?.key ?? start;
      }
    });
  }

  /**
   * Accepts an offer in one transaction if its base revision is current.
   *
   * If the operation was accepted before, the outcome is ACCEPTED again, so a
   * call may be repeated after an UNCERTAIN failure.
   */
  accept(offer: ConfigurationOffer): Effect.Effect<AcceptResult, ReadError> {
    return Effect.gen({self: this}, function* () {
      const row = yield* this.readRow(CURRENT_KEY);
      const current = row === undefined ? undefined : yield* parseRecord(row);
      const acceptedBefore = yield* this.findByOperation(offer.operationId);
      if (acceptedBefore !== undefined) {
        return {outcome: AcceptOutcome.ACCEPTED, current: acceptedBefore};
      }
      if ((current?.revision ?? 0) !== offer.baseRevision) {
        return {outcome: AcceptOutcome.CONFLICT, current};
      }
      const record = yield* this.putParts(offer, current);
      const version = row?.version ?? ABSENT_VERSION;
      const result = yield* this.table.transact(
        makeAcceptTransaction(offer, record, version),
      );
      if (result.committed) {
        return {outcome: AcceptOutcome.ACCEPTED, current: record};
      }
      return yield* this.readOutcomeAfterConflict(offer);
    });
  }

  /** Finds the revision that an operation accepted; undefined if none. */
  findByOperation(
    operationId: string,
  ): Effect.Effect<ConfigurationRevision | undefined, ReadError> {
    return Effect.flatMap(this.readRow(makeOperationKey(operationId)), row =>
      row === undefined ? Effect.undefined : parseRecord(row),
    );
  }

  /** Returns ACCEPTED if an earlier attempt was committed, else CONFLICT. */
  private readOutcomeAfterConflict(
    offer: ConfigurationOffer,
  ): Effect.Effect<AcceptResult, ReadError> {
    return Effect.gen({self: this}, function* () {
      const acceptedBefore = yield* this.findByOperation(offer.operationId);
      if (acceptedBefore !== undefined) {
        return {outcome: AcceptOutcome.ACCEPTED, current: acceptedBefore};
      }
      const current = yield* this.readCurrent();
      return {outcome: AcceptOutcome.CONFLICT, current};
    });
  }

  private readRow(
    key: string,
  ): Effect.Effect<TableRow | undefined, PlatformError> {
    return Effect.map(this.table.read([key]), rows => rows[0]);
  }

  /**
   * Writes an offer's new parts and makes its record. Parts are keyed by their
   * digests, so writing a part twice is safe.
   */
  private putParts(
    offer: ConfigurationOffer,
    current: ConfigurationRevision | undefined,
  ): Effect.Effect<ConfigurationRevision, PlatformError> {
    const all = [...offer.configuration.parts, ...offer.answers.parts];
    const newParts = all.filter(part => !offer.storedDigests.has(part.digest));
    const unpackedCount = (current?.partsSincePacks ?? 0) + newParts.length;
    const isPacked = unpackedCount > this.retention.maxUnpackedParts;
    const packs = isPacked ? makePackParts(offer) : [];
    // A segment contains every part that its revisions need.
    const isNew = isPacked || offer.storedDigests.size === 0;
    const revision = offer.baseRevision + 1;
    const newSegment = makeSegmentName(revision, offer.operationId);
    const segment = isNew ? newSegment : (current?.segment ?? newSegment);
    const packIndex = isNew ? '' : (current?.packIndex ?? '');
    const record: ConfigurationRevision = {
      revision,
      segment,
      digest: offer.configuration.digest,
      answersDigest: offer.answers.digest,
      packIndex: packs.at(-1)?.digest ?? packIndex,
      partsSincePacks: isPacked ? 0 : unpackedCount,
      operationId: offer.operationId,
      acceptedBy: offer.acceptedBy,
      acceptedAtMs: offer.acceptedAtMs,
      reason: offer.reason,
    };
    const parts = new StorePartSource(this.objects, segment);
    return Effect.as(parts.put([...newParts, ...packs]), record);
  }

  /** Loads all chosen packs and makes a source that serves their parts. */
  private makePackedSource(
    record: ConfigurationRevision,
    choose: (index: PackIndex) => readonly string[],
  ): Effect.Effect<PartSource, ReadError> {
    const parts = new StorePartSource(this.objects, record.segment);
    if (record.packIndex === '') return Effect.succeed(parts);
    return Effect.gen(function* () {
      const bodies = yield* parts.fetchChecked([record.packIndex]);
      const body = bodies.get(record.packIndex) ?? '';
      const index = yield* parseValue(PackIndexSchema, body, 'the pack index');
      const packed = yield* readPacks(choose(index), parts);
      return new PackedPartSource(packed, parts);
    });
  }

  /**
   * Makes a source for few parts: reads parts singly, and all packs only if a
   * part is missing. Parts older than the segment are only in its packs.
   */
  private makeLazySource(
    record: ConfigurationRevision,
    choose: (index: PackIndex) => readonly string[],
  ): PartSource {
    const parts = new StorePartSource(this.objects, record.segment);
    if (record.packIndex === '') return parts;
    return new FallbackPartSource(parts, this.makePackedSource(record, choose));
  }
}
