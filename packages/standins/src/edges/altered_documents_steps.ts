import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {Schema} from 'effect';
import {decodeDocument, ValidationError} from '@greengagecross/common';
import {DOCUMENTS, type DocumentKind} from './documents.js';

const SEED = 20_261_204;
const REMOVED = Symbol('removed');

type Path = readonly (string | number)[];

Then(
  /^a right (.+) is read, and (\d+) with one value altered are read or refused at that value$/,
  function (name: string, runs: string) {
    const kind = DOCUMENTS[name];
    assert.ok(kind !== undefined, `no document ${name}`);
    assert.deepEqual(decodeDocument(kind.schema, kind.right, name), kind.right);
    const paths = listPaths(kind.right);
    const put = fc.oneof(fc.jsonValue(), fc.constant(REMOVED), fc.integer());
    let refused = 0;
    fc.assert(
      fc.property(fc.constantFrom(...paths), put, (path, value) => {
        if (!checkAltered(kind, name, path, value)) refused += 1;
      }),
      {seed: SEED, numRuns: Number(runs)},
    );
    assert.ok(refused > 0, 'no alteration was refused');
  },
);

/** Returns whether the altered document was rightly read or refused. */
function checkAltered(
  kind: DocumentKind,
  name: string,
  path: Path,
  value: unknown,
): boolean {
  const altered = makeAltered(kind.right, path, value);
  const isValid = Schema.is(kind.schema)(altered);
  try {
    decodeDocument(kind.schema, altered, name);
  } catch (thrown) {
    assert.ok(thrown instanceof ValidationError, String(thrown));
    assert.ok(thrown.problems.length > 0);
    const place = formatPath(path);
    for (const problem of thrown.problems) {
      assert.ok(problem.path.startsWith(place), `${problem.path} at ${place}`);
    }
    return false;
  }
  assert.ok(isValid, JSON.stringify(altered));
  return true;
}

function listPaths(value: unknown, above: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value).flatMap(([key, below]) => {
    const path = [...above, Array.isArray(value) ? Number(key) : key];
    return [path, ...listPaths(below, path)];
  });
}

function makeAltered(value: unknown, path: Path, put: unknown): unknown {
  const [key, ...rest] = path;
  if (key === undefined) return put;
  const copy = structuredClone(value) as Record<string | number, unknown>;
  const changed = makeAltered(copy[key], rest, put);
  if (changed !== REMOVED) copy[key] = changed;
  else if (Array.isArray(copy)) copy.splice(Number(key), 1);
  else delete copy[key];
  return copy;
}

/** The place that a problem names; a list that lost an entry is named itself. */
function formatPath(path: Path): string {
  const text = path
    .map(key => (typeof key === 'number' ? `[${key}]` : `.${key}`))
    .join('')
    .replace(/^\./, '');
  return typeof path.at(-1) === 'number'
    ? text.slice(0, text.lastIndexOf('['))
    : text;
}
