import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import {Then, When, World} from '@cucumber/cucumber';

const PAGES = ['docs/PROMISES.md', 'docs/PLATFORM_PROMISES.md'];
const ROOT = new URL('../../../../', import.meta.url);
const FEATURE_PATH = /(?:packages|platform)\/\S+?\.feature/g;
const STATES = ['proved', 'partial', 'not proved'];

/** One row of a page's table of promises. */
interface PromiseRow {
  readonly state: string;
  readonly note: string;
}

/** Fixture of the scenario about the pages: the rows of both. */
interface PageWorld extends World {
  rows: PromiseRow[];
}

When('the pages of promises are read', function (this: PageWorld) {
  this.rows = PAGES.flatMap(page => {
    const rows = listRows(page);
    assert.ok(rows.length > 0, page);
    return rows;
  });
});

Then('each row of the pages has a valid state', function (this: PageWorld) {
  for (const {state} of this.rows) assert.ok(STATES.includes(state), state);
});

Then('each row in state proved names a feature', function (this: PageWorld) {
  for (const {state, note} of this.rows) {
    if (state === 'proved') assert.ok(listFeatures(note).length > 0, note);
  }
});

Then('each feature named on the pages exists', function (this: PageWorld) {
  const named = this.rows.flatMap(({note}) => listFeatures(note));
  assert.ok(named.length > 0);
  for (const path of named) assert.ok(existsSync(new URL(path, ROOT)), path);
});

function listRows(page: string): PromiseRow[] {
  return readFileSync(new URL(page, ROOT), 'utf8')
    .split('\n')
    .filter(line => line.startsWith('| '))
    .slice(2)
    .map(line => line.split('|').map(cell => cell.trim()))
    .map(cells => ({state: cells[3] ?? '', note: cells[4] ?? ''}));
}

function listFeatures(note: string): string[] {
  return note.match(FEATURE_PATH) ?? [];
}
