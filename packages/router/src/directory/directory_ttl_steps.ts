import assert from 'node:assert/strict';
import {Given, Then, World} from '@cucumber/cucumber';
import {computeDirectoryTtlMs} from './compute_directory_ttl.js';

/** Fixture of a directory; holds the number of its daemons. */
interface DirectoryFixture extends World {
  daemons: number;
}

Given(
  'a directory of {int} daemons',
  function (this: DirectoryFixture, daemons: number) {
    this.daemons = daemons;
  },
);

Then(
  'its answers are cached for {int} ms',
  function (this: DirectoryFixture, ttlMs: number) {
    assert.equal(computeDirectoryTtlMs(this.daemons), ttlMs);
  },
);
