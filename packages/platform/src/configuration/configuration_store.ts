import {Effect} from 'effect';
import {
  ConfigurationSchema,
  decodeJson,
  toError,
  type Configuration,
} from '@greengagecross/common';
import type {ObjectStore} from '../object_store.js';
import type {PlatformError} from '../platform_error.js';
import type {TableService} from '../table_service.js';
import type {TableRow} from '../table_row.js';
import {ABSENT_VERSION} from '../transaction.js';
import type {AcceptedConfiguration} from './accepted_configuration.js';
import {AcceptOutcome, type AcceptResult} from './accept_result.js';
import {ConfigurationError} from './configuration_error.js';
import {
  ConfigurationRevisionSchema,
  type ConfigurationRevision,
} from './configuration_revision.js';
import {computeDigest} from './digest.js';

const CURRENT_KEY = 'configuration/current';
const REVISION_PREFIX = 'configuration/revision/';
const REVISION_DIGITS = 12;
const MAX_HISTORY = 100;

/** A configuration offered for acceptance. */
export interface ConfigurationOffer {
  /** Revision that the change was based on; 0 for the first. */
  readonly baseRevision: number;
  readonly configurationBytes: string;
  readonly answersBytes: string;
  readonly operationId: string;
  readonly acceptedBy: string;
  readonly acceptedAtMs: number;
  readonly reason: string;
}

/** Reads and accepts configurations in the platform's stores. */
export class ConfigurationStore {
  constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
  ) {}

  /** Reads the record of the revision that stands, if there is one. */
  readCurrent(): Effect.Effect<
    ConfigurationRevision | undefined,
    PlatformError | ConfigurationError
  > {
    return this.readCurrentRow().pipe(
      Effect.flatMap(row =>
        row === undefined ? Effect.undefined : parseRecord(row),
      ),
    );
  }

  /** Reads the configuration of a record and checks its digest. */
  readConfiguration(
    record: ConfigurationRevision,
  ): Effect.Effect<AcceptedConfiguration, PlatformError | ConfigurationError> {
    return Effect.flatMap(
      this.objects.get(`configuration/${record.digest}`),
      body => parseConfiguration(record, body),
    );
  }

  /** Reads the answers that a revision was generated from. */
  readAnswers(
    record: ConfigurationRevision,
  ): Effect.Effect<string, PlatformError | ConfigurationError> {
    return Effect.flatMap(
      this.objects.get(`answers/${record.answersDigest}`),
      body =>
        body === undefined
          ? Effect.fail(new ConfigurationError('the answers are missing'))
          : Effect.succeed(body.toString()),
    );
  }

  /** Lists the newest revisions, newest first. */
  listHistory(): Effect.Effect<
    readonly ConfigurationRevision[],
    PlatformError | ConfigurationError
  > {
    return Effect.gen({self: this}, function* () {
      const current = yield* this.readCurrent();
      if (current === undefined) return [];
      const first = Math.max(0, current.revision - MAX_HISTORY);
      const after = makeRevisionKey(first);
      const rows = yield* this.table.list(REVISION_PREFIX, after, MAX_HISTORY);
      const records = yield* Effect.forEach(rows, parseRecord);
      return records.reverse();
    });
  }

  /**
   * Accepts an offer in one transaction over its base revision.
   *
   * An offer whose operation already stands is ACCEPTED again, so it may be
   * sent once more after an UNCERTAIN failure.
   */
  accept(
    offer: ConfigurationOffer,
  ): Effect.Effect<AcceptResult, PlatformError | ConfigurationError> {
    return Effect.gen({self: this}, function* () {
      const row = yield* this.readCurrentRow();
      const current = row === undefined ? undefined : yield* parseRecord(row);
      const earlier = yield* this.findOperation(offer.operationId);
      if (earlier !== undefined) {
        return {outcome: AcceptOutcome.ACCEPTED, current: earlier};
      }
      if ((current?.revision ?? 0) !== offer.baseRevision) {
        return {outcome: AcceptOutcome.CONFLICT, current};
      }
      const record = makeRecord(offer);
      yield* this.putBodies(offer, record);
      const value = JSON.stringify(record);
      const result = yield* this.table.transact({
        conditions: [
          {key: CURRENT_KEY, version: row?.version ?? ABSENT_VERSION},
          {key: makeOperationKey(offer.operationId), version: ABSENT_VERSION},
        ],
        writes: [
          {key: CURRENT_KEY, value},
          {key: makeRevisionKey(record.revision), value},
          {key: makeOperationKey(offer.operationId), value},
        ],
        deletes: [],
      });
      if (result.committed) {
        return {outcome: AcceptOutcome.ACCEPTED, current: record};
      }
      return {
        outcome: AcceptOutcome.CONFLICT,
        current: yield* this.readCurrent(),
      };
    });
  }

  private readCurrentRow(): Effect.Effect<TableRow | undefined, PlatformError> {
    return Effect.map(this.table.read([CURRENT_KEY]), rows => rows[0]);
  }

  private findOperation(
    operationId: string,
  ): Effect.Effect<
    ConfigurationRevision | undefined,
    PlatformError | ConfigurationError
  > {
    return Effect.flatMap(
      this.table.read([makeOperationKey(operationId)]),
      rows => (rows[0] === undefined ? Effect.undefined : parseRecord(rows[0])),
    );
  }

  /** Bodies are named by their digest, so that writing them twice is safe. */
  private putBodies(
    offer: ConfigurationOffer,
    record: ConfigurationRevision,
  ): Effect.Effect<void, PlatformError> {
    const {configurationBytes, answersBytes} = offer;
    return Effect.andThen(
      this.objects.put(
        `configuration/${record.digest}`,
        Buffer.from(configurationBytes),
      ),
      this.objects.put(
        `answers/${record.answersDigest}`,
        Buffer.from(answersBytes),
      ),
    );
  }
}

function makeRecord(offer: ConfigurationOffer): ConfigurationRevision {
  return {
    revision: offer.baseRevision + 1,
    digest: computeDigest(offer.configurationBytes),
    answersDigest: computeDigest(offer.answersBytes),
    operationId: offer.operationId,
    acceptedBy: offer.acceptedBy,
    acceptedAtMs: offer.acceptedAtMs,
    reason: offer.reason,
  };
}

function makeRevisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

function makeOperationKey(operationId: string): string {
  return `configuration/operation/${operationId}`;
}

function parseRecord(
  row: TableRow,
): Effect.Effect<ConfigurationRevision, ConfigurationError> {
  return Effect.try({
    try: () => decodeJson(ConfigurationRevisionSchema, row.value, row.key),
    catch: thrown =>
      new ConfigurationError(`row ${row.key} is unreadable`, toError(thrown)),
  });
}

function parseConfiguration(
  record: ConfigurationRevision,
  body: Buffer | undefined,
): Effect.Effect<AcceptedConfiguration, ConfigurationError> {
  const name = `revision ${record.revision}`;
  return Effect.try({
    try: () => {
      if (body === undefined) throw new Error('its body is missing');
      if (computeDigest(body) !== record.digest) {
        throw new Error('its digest does not match its body');
      }
      const configuration: Configuration = decodeJson(
        ConfigurationSchema,
        body.toString(),
        name,
      );
      return {record, configuration};
    },
    catch: thrown =>
      new ConfigurationError(`${name} is refused`, toError(thrown)),
  });
}
