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
  makeTransaction,
  parseEntry,
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
import {computeOldestKept, DEFAULT_RETENTION} from './retention.js';
import {makeSegment} from './segment.js';
import {StorePartSource} from './store_part_source.js';

const MAX_HISTORY = 100;

/** Reads and accepts configurations in the platform's stores. */
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

  /** Tells whether changes may still be made from a revision's answers. */
  isKept(revision: number, currentRevision: number): boolean {
    const oldest = computeOldestKept(currentRevision, this.retention);
    return revision >= oldest || (revision === 0 && oldest === 1);
  }

  /** Removes some of what no kept revision needs. */
  removeOld(currentRevision: number): Effect.Effect<void, ReadError> {
    return this.cleaner.removeOld(currentRevision);
  }

  /** Reads the record of the revision that stands, if there is one. */
  readCurrent(): Effect.Effect<ConfigurationRevision | undefined, ReadError> {
    return Effect.flatMap(this.readRow(CURRENT_KEY), row =>
      row === undefined ? Effect.undefined : parseRecord(row),
    );
  }

  /** Reads the configuration of a record, sharing an earlier one's parts. */
  readConfiguration(
    record: ConfigurationRevision,
    earlier?: AcceptedConfiguration,
  ): Effect.Effect<AcceptedConfiguration, ReadError> {
    return Effect.gen({self: this}, function* () {
      const source =
        earlier === undefined
          ? yield* this.makeSource(record, index => index.configuration)
          : this.makeSourceForFew(record, index => index.configuration);
      const {digest} = record;
      const index = yield* this.reader.read(digest, source, earlier?.index);
      return {record, index};
    });
  }

  /** Reads the services of a record only. */
  readServices(
    record: ConfigurationRevision,
  ): Effect.Effect<readonly Service[], ReadError> {
    const source = this.makeSourceForFew(record, index => index.configuration);
    return this.reader.readServices(record.digest, source);
  }

  /** Makes the source of a record's answers; without packs if few are asked. */
  makeAnswersSource(
    record: ConfigurationRevision,
    isForFew = false,
  ): Effect.Effect<PartSource, ReadError> {
    const choose = (index: PackIndex): readonly string[] => index.answers;
    return isForFew
      ? Effect.succeed(this.makeSourceForFew(record, choose))
      : this.makeSource(record, choose);
  }

  /** Reads one revision with what it changed. */
  readRevision(
    revision: number,
  ): Effect.Effect<HistoryEntry | undefined, ReadError> {
    return Effect.flatMap(this.readRow(makeRevisionKey(revision)), row =>
      row === undefined ? Effect.undefined : parseEntry(row),
    );
  }

  /** Lists the newest revisions after one, newest first. */
  listHistory(after = 0): Effect.Effect<readonly HistoryEntry[], ReadError> {
    return Effect.gen({self: this}, function* () {
      const current = yield* this.readCurrent();
      if (current === undefined) return [];
      const first = Math.max(after, current.revision - MAX_HISTORY);
      const start = makeRevisionKey(first);
      const rows = yield* this.table.list(REVISION_PREFIX, start, MAX_HISTORY);
      const entries = yield* Effect.forEach(rows, parseEntry);
      return entries.reverse();
    });
  }

  /** Lists every revision after one that is kept, newest first. */
  listSince(after: number): Effect.Effect<readonly HistoryEntry[], ReadError> {
    return Effect.gen({self: this}, function* () {
      const entries: HistoryEntry[] = [];
      let start = makeRevisionKey(after);
      for (;;) {
        const rows = yield* this.table.list(
          REVISION_PREFIX,
          start,
          MAX_HISTORY,
        );
        entries.push(...(yield* Effect.forEach(rows, parseEntry)));
        if (rows.length < MAX_HISTORY) return entries.reverse();
        start = rows.at(-1)?.key ?? start;
      }
    });
  }

  /**
   * Accepts an offer in one transaction over its base revision.
   *
   * An offer whose operation already stands is ACCEPTED again, so it may be
   * sent once more after an UNCERTAIN failure.
   */
  accept(offer: ConfigurationOffer): Effect.Effect<AcceptResult, ReadError> {
    return Effect.gen({self: this}, function* () {
      const row = yield* this.readRow(CURRENT_KEY);
      const current = row === undefined ? undefined : yield* parseRecord(row);
      const earlier = yield* this.findOperation(offer.operationId);
      if (earlier !== undefined) {
        return {outcome: AcceptOutcome.ACCEPTED, current: earlier};
      }
      if ((current?.revision ?? 0) !== offer.baseRevision) {
        return {outcome: AcceptOutcome.CONFLICT, current};
      }
      const record = yield* this.putParts(offer, current);
      const version = row?.version ?? ABSENT_VERSION;
      const result = yield* this.table.transact(
        makeTransaction(offer, record, version),
      );
      if (result.committed) {
        return {outcome: AcceptOutcome.ACCEPTED, current: record};
      }
      return yield* this.readWinner(offer);
    });
  }

  /** Finds the revision that an operation accepted. */
  findOperation(
    operationId: string,
  ): Effect.Effect<ConfigurationRevision | undefined, ReadError> {
    return Effect.flatMap(this.readRow(makeOperationKey(operationId)), row =>
      row === undefined ? Effect.undefined : parseRecord(row),
    );
  }

  /** A delayed transaction of the same operation may have got in between. */
  private readWinner(
    offer: ConfigurationOffer,
  ): Effect.Effect<AcceptResult, ReadError> {
    return Effect.gen({self: this}, function* () {
      const own = yield* this.findOperation(offer.operationId);
      if (own !== undefined) {
        return {outcome: AcceptOutcome.ACCEPTED, current: own};
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

  /** Parts are named by their digests, so that writing them twice is safe. */
  private putParts(
    offer: ConfigurationOffer,
    current: ConfigurationRevision | undefined,
  ): Effect.Effect<ConfigurationRevision, PlatformError> {
    const all = [...offer.configuration.parts, ...offer.answers.parts];
    const fresh = all.filter(part => !offer.storedParts.has(part.digest));
    const since = (current?.partsSincePacks ?? 0) + fresh.length;
    const isPacked = since > this.retention.maxLooseParts;
    const packs = isPacked ? makePackParts(offer) : [];
    // A segment has everything that its revisions need.
    const isNew = isPacked || offer.storedParts.size === 0;
    const revision = offer.baseRevision + 1;
    const own = makeSegment(revision, offer.operationId);
    const segment = isNew ? own : (current?.segment ?? own);
    const packIndex = isNew ? '' : (current?.packIndex ?? '');
    const record: ConfigurationRevision = {
      revision,
      segment,
      digest: offer.configuration.digest,
      answersDigest: offer.answers.digest,
      packIndex: packs.at(-1)?.digest ?? packIndex,
      partsSincePacks: isPacked ? 0 : since,
      operationId: offer.operationId,
      acceptedBy: offer.acceptedBy,
      acceptedAtMs: offer.acceptedAtMs,
      reason: offer.reason,
    };
    const parts = new StorePartSource(this.objects, segment);
    return Effect.as(parts.put([...fresh, ...packs]), record);
  }

  private makeSource(
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

  /** Few parts are read singly; those before the segment are in its packs. */
  private makeSourceForFew(
    record: ConfigurationRevision,
    choose: (index: PackIndex) => readonly string[],
  ): PartSource {
    const parts = new StorePartSource(this.objects, record.segment);
    if (record.packIndex === '') return parts;
    return new FallbackPartSource(parts, this.makeSource(record, choose));
  }
}
