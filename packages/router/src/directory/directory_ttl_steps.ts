import assert from 'node:assert/strict';
import {Given, Then, World} from '@cucumber/cucumber';
import {computeDirectoryTtlMs} from './compute_directory_ttl.js';

interface DirectoryWorld extends World {
  daemons: number;
}

Given(
  'a directory of {int} daemons',
  function (this: DirectoryWorld, daemons: number) {
    this.daemons = daemons;
  },
);

Then(
  'its answers are kept for {int} ms',
  function (this: DirectoryWorld, ttlMs: number) {
    assert.equal(computeDirectoryTtlMs(this.daemons), ttlMs);
  },
);
