import assert from 'node:assert/strict';
import {Effect} from 'effect';
import type {
  ObjectStore,
  TableService,
  Transaction,
} from '@greengagecross/platform';

/** Checks one case of the table service's contract. */
export type TableCase = (table: TableService) => Promise<void>;

/** Checks one case of the object store's contract. */
export type ObjectCase = (objects: ObjectStore) => Promise<void>;

/** Makes a transaction that writes one row. */
export function makeWrite(
  key: string,
  value: string,
  version?: number,
): Transaction {
  const conditions = version === undefined ? [] : [{key, version}];
  return {conditions, writes: [{key, value}], deletes: []};
}

/** The table service's contract. */
export const TABLE_CASES: Readonly<Record<string, TableCase>> = {
  'reads rows and leaves absent ones out': async table => {
    await Effect.runPromise(table.transact(makeWrite('a/1', 'one')));
    const rows = await Effect.runPromise(table.read(['a/1', 'a/2']));
    assert.deepEqual(rows, [{key: 'a/1', value: 'one', version: 1}]);
  },
  'lists a prefix in key order and in pages': async table => {
    for (const key of ['b/3', 'b/1', 'c/1', 'b/2']) {
      await Effect.runPromise(table.transact(makeWrite(key, key)));
    }
    const first = await Effect.runPromise(table.list('b/', '', 2));
    const rest = await Effect.runPromise(table.list('b/', 'b/2', 2));
    assert.deepEqual(
      [...first, ...rest].map(row => row.key),
      ['b/1', 'b/2', 'b/3'],
    );
  },
  'applies all of a transaction or none of it': async table => {
    await Effect.runPromise(table.transact(makeWrite('d/1', 'one')));
    const refused = await Effect.runPromise(
      table.transact({
        conditions: [
          {key: 'd/1', version: 1},
          {key: 'd/2', version: 7},
        ],
        writes: [{key: 'd/3', value: 'three'}],
        deletes: ['d/1'],
      }),
    );
    assert.deepEqual(refused, {committed: false, conflicts: []});
    const rows = await Effect.runPromise(table.read(['d/1', 'd/3']));
    assert.deepEqual(
      rows.map(row => row.key),
      ['d/1'],
    );
  },
  "raises a row's version with each write": async table => {
    await Effect.runPromise(table.transact(makeWrite('e/1', 'one', 0)));
    const second = makeWrite('e/1', 'two', 1);
    assert.ok((await Effect.runPromise(table.transact(second))).committed);
    const again = await Effect.runPromise(table.transact(second));
    assert.equal(again.committed, false);
    assert.deepEqual(again.conflicts, [{key: 'e/1', value: 'two', version: 2}]);
  },
};

/** The object store's contract. */
export const OBJECT_CASES: Readonly<Record<string, ObjectCase>> = {
  'gives back the bytes that were put': async objects => {
    const body = Buffer.from([0, 255, 10, 13, 128]);
    await Effect.runPromise(objects.put('folder/a name', body));
    const found = await Effect.runPromise(objects.get('folder/a name'));
    assert.deepEqual(found, body);
  },
  'lists a prefix in key order and removes': async objects => {
    const body = Buffer.from('x');
    for (const key of ['p/2', 'p/1', 'q/1', 'p/3']) {
      await Effect.runPromise(objects.put(key, body));
    }
    const rest = await Effect.runPromise(objects.list('p/', 'p/1', 1));
    assert.deepEqual(rest, ['p/2']);
    await Effect.runPromise(objects.remove('p/2'));
    await Effect.runPromise(objects.remove('p/2'));
    const left = await Effect.runPromise(objects.list('p/', '', 9));
    assert.deepEqual(left, ['p/1', 'p/3']);
  },
  'has nothing under an unknown key': async objects => {
    const found = await Effect.runPromise(objects.get('unknown'));
    assert.equal(found, undefined);
  },
};
