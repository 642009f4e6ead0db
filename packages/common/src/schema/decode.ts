import {Cause, Exit, Option, Schema, SchemaIssue} from 'effect';
import {ValidationError} from './validation_error.js';
import type {Problem} from './problem.js';

const MAX_FOUND_CHARACTERS = 60;
/**
 * Values nested deeper are rejected before they are decoded: decoding and
 * describing them recurses, which can exceed the stack.
 */
const MAX_DEPTH = 100;
const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING_BRACKETS: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const CLOSING_BRACKETS: ReadonlySet<number> = new Set([0x5d, 0x7d]);
const SECRET_PATH = /key|secret|salt|hash/i;
const formatIssues = SchemaIssue.makeFormatterStandardSchemaV1();

/** How properties that the schema does not name are handled. */
export enum ExcessProperties {
  REFUSED = 'error',
  IGNORED = 'ignore',
}

type Path = ReadonlyArray<PropertyKey | {readonly key: PropertyKey}>;

/**
 * Decodes an untrusted document and reports all invalid values at once.
 *
 * @param documentName names the document in messages, such as its file.
 * @throws ValidationError lists the path, expected and found value of each.
 */
export function decodeDocument<S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  value: unknown,
  documentName: string,
  excess = ExcessProperties.REFUSED,
): S['Type'] {
  const exit = Schema.decodeUnknownExit(schema)(value, {
    errors: 'all',
    onExcessProperty: excess,
  });
  if (Exit.isSuccess(exit)) return exit.value;
  const error = Option.getOrUndefined(Cause.findErrorOption(exit.cause));
  if (error === undefined) throw Cause.squash(exit.cause);
  const {issues} = formatIssues(error.issue);
  const problems = issues.map(issue =>
    toProblem(value, issue.path ?? [], issue.message),
  );
  throw new ValidationError(documentName, problems);
}

/**
 * Decodes untrusted JSON text; see {@link decodeDocument}.
 *
 * @throws ValidationError for malformed JSON and for invalid values.
 */
export function decodeJson<S extends Schema.ConstraintDecoder<unknown>>(
  schema: S,
  text: string,
  documentName: string,
  excess = ExcessProperties.REFUSED,
): S['Type'] {
  return decodeDocument(
    schema,
    parseJson(text, documentName),
    documentName,
    excess,
  );
}

/**
 * Parses JSON text.
 *
 * @throws ValidationError if it is malformed or nested deeper than MAX_DEPTH
 */
export function parseJson(text: string, documentName: string): unknown {
  if (isNestedDeeper(text, MAX_DEPTH)) {
    const expected = `at most ${MAX_DEPTH} nested values`;
    const problem = {path: '(document)', expected, found: 'more'};
    throw new ValidationError(documentName, [problem]);
  }
  try {
    return JSON.parse(text) as unknown;
  } catch (thrown) {
    const found = thrown instanceof Error ? thrown.message : 'unreadable text';
    const problem = {path: '(document)', expected: 'JSON', found};
    throw new ValidationError(documentName, [problem]);
  }
}

/**
 * Returns whether arrays and objects are nested deeper than a limit. Reads each
 * character once, also in text that ends within a string.
 */
function isNestedDeeper(text: string, limit: number): boolean {
  let depth = 0;
  let isInString = false;
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === QUOTE) isInString = !isInString;
    else if (isInString) at += code === BACKSLASH ? 1 : 0;
    else if (OPENING_BRACKETS.has(code)) depth += 1;
    else if (CLOSING_BRACKETS.has(code)) depth -= 1;
    if (depth > limit) return true;
  }
  return false;
}

function toProblem(document: unknown, path: Path, message: string): Problem {
  const keys = path.map(part => (typeof part === 'object' ? part.key : part));
  const name = formatPath(keys);
  return {
    path: name,
    expected: message.replace(/^Expected /, ''),
    found: SECRET_PATH.test(name) ? '(hidden)' : describeAt(document, keys),
  };
}

function formatPath(keys: readonly PropertyKey[]): string {
  if (keys.length === 0) return '(document)';
  return keys
    .map(key => (typeof key === 'number' ? `[${key}]` : `.${String(key)}`))
    .join('')
    .replace(/^\./, '');
}

function describeAt(document: unknown, keys: readonly PropertyKey[]): string {
  let value = document;
  for (const key of keys) {
    if (typeof value !== 'object' || value === null) return 'nothing';
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  if (value === undefined) return 'nothing';
  return JSON.stringify(value).slice(0, MAX_FOUND_CHARACTERS);
}
