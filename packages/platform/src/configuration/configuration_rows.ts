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

/** Key of the row with the record of the current revision. */
export const CURRENT_KEY = 'configuration/current';
/** Prefix of the keys of history rows, which sort by revision number. */
export const REVISION_PREFIX = 'configuration/revision/';
const REVISION_DIGITS = 12;
const MAX_LISTED_CHANGES = 50;

/**
 * Makes the transaction that accepts an offer.
 *
 * The transaction conflicts if the current revision has changed, or if an
 * earlier attempt of the same operation was accepted.
 *
 * @param currentVersion version of the row of the current revision.
 */
export function makeAcceptTransaction(
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

/** Makes the key of a revision's history row. */
export function makeRevisionKey(revision: number): string {
  return REVISION_PREFIX + String(revision).padStart(REVISION_DIGITS, '0');
}

/** Makes the key of the row that records an accepted operation. */
export function makeOperationKey(operationId: string): string {
  return `configuration/operation/${operationId}`;
}

/** Parses the row of the current revision or of an accepted operation. */
export function parseRecord(
  row: TableRow,
): Effect.Effect<ConfigurationRevision, ConfigurationError> {
  return parseValue(ConfigurationRevisionSchema, row.value, row.key);
}

/** Parses a revision's history row. */
export function parseHistoryEntry(
  row: TableRow,
): Effect.Effect<HistoryEntry, ConfigurationError> {
  return parseValue(HistoryEntrySchema, row.value, row.key);
}

/**
 * Parses JSON text from the store and checks it against a schema.
 *
 * @param name name of the document in error messages.
 */
export function parseValue<S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  text: string,
  name: string,
): Effect.Effect<S['Type'], ConfigurationError> {
  return Effect.try({
    try: () => decodeJson(schema, text, name),
    catch: thrown =>
      new ConfigurationError(`${name} cannot be parsed`, toError(thrown)),
  });
}
