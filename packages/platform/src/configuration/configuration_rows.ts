import {Effect, type Schema} from 'effect';
import {decodeJson, toError} from '@greengagecross/common';
import type {TableRow} from '../table_row.js';
import {ABSENT_VERSION, type Transaction} from '../transaction.js';
import {ConfigurationError} from './configuration_error.js';
import type {ConfigurationOffer} from './configuration_offer.js';
import {
  ConfigurationRevisionSchema,
  HistoryEntrySchema,
  type ConfigurationRevision,
  type HistoryEntry,
} from './configuration_revision.js';

/** Key of the row with the revision that stands. */
export const CURRENT_KEY = 'configuration/current';
/** Prefix of the keys of revisions, which sort by number. */
export const REVISION_PREFIX = 'configuration/revision/';
const REVISION_DIGITS = 12;
const MAX_LISTED_CHANGES = 50;

/** Makes the transaction that accepts an offer as a revision. */
export function makeTransaction(
  offer: ConfigurationOffer,
  record: ConfigurationRevision,
  currentVersion: number,
): Transaction {
  const value = JSON.stringify(record);
  const entry: HistoryEntry = {
    record,
    changes: offer.changes.slice(0, MAX_LISTED_CHANGES),
    changeCount: offer.changes.length,
  };
  const operationKey = makeOperationKey(offer.operationId);
  return {
    conditions: [
      {key: CURRENT_KEY, version: currentVersion},
      {key: operationKey, version: ABSENT_VERSION},
    ],
    writes: [
      {key: CURRENT_KEY, value},
      {key: makeRevisionKey(record.revision), value: JSON.stringify(entry)},
      {key: operationKey, value},
    ],
    deletes: [],
  };
}

/** Makes the key of a revision's row. */
export function makeRevisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/** Makes the key of the row of an operation that was accepted. */
export function makeOperationKey(operationId: string): string {
  return `configuration/operation/${operationId}`;
}

/** Parses the row of the current revision or of an operation. */
export function parseRecord(
  row: TableRow,
): Effect.Effect<ConfigurationRevision, ConfigurationError> {
  return parseValue(ConfigurationRevisionSchema, row.value, row.key);
}

/** Parses the row of a revision. */
export function parseEntry(
  row: TableRow,
): Effect.Effect<HistoryEntry, ConfigurationError> {
  return parseValue(HistoryEntrySchema, row.value, row.key);
}

/** Parses text from the store against a schema. */
export function parseValue<S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  text: string,
  name: string,
): Effect.Effect<S['Type'], ConfigurationError> {
  return Effect.try({
    try: () => decodeJson(schema, text, name),
    catch: thrown =>
      new ConfigurationError(`${name} is unreadable`, toError(thrown)),
  });
}
