import assert from 'node:assert/strict';
import {Then, When, World} from '@cucumber/cucumber';
import {makeBoundedId} from './bounded_id.js';

/** World with bounded ids that were made of one id. */
interface BoundedWorld extends World {
  boundedIds: string[];
}

When(
  'bounded ids are made of an id of {int} characters',
  function (this: BoundedWorld, length: number) {
    const id = 'a'.repeat(length);
    this.boundedIds = [makeBoundedId(id), makeBoundedId(`x${id}`.slice(1))];
  },
);

Then(
  'they are equal and have {int} characters',
  function (this: BoundedWorld, length: number) {
    const [first = '', second] = this.boundedIds;
    assert.equal(first, second);
    assert.equal(first.length, length);
  },
);

Then(
  'that of another id of {int} characters is different',
  function (this: BoundedWorld, length: number) {
    const other = makeBoundedId('a'.repeat(length - 1) + 'b');
    assert.notEqual(other, this.boundedIds[0]);
  },
);
