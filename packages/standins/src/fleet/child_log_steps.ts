import assert from 'node:assert/strict';
import {pbkdf2} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {After, Then, When, World} from '@cucumber/cucumber';
import {Child} from './child.js';

/** Tasks that fill the thread pool, which has four threads. */
const BUSY_TASKS = 40;
/** Iterations of a task, which takes some ten milliseconds. */
const BUSY_ITERATIONS = 50_000;

/** Folder with the logs of the processes of a scenario. */
interface ChildLogWorld extends World {
  logFolder: string | undefined;
  logTexts: string[];
}

/** Makes writes of files wait, as on a busy machine. */
function startBusyWork(): void {
  for (let at = 0; at < BUSY_TASKS; at += 1) {
    pbkdf2('secret', 'salt', BUSY_ITERATIONS, 64, 'sha512', () => undefined);
  }
}

async function runChild(folder: string, lines: number): Promise<string> {
  const script = join(folder, 'write.mjs');
  const log = join(folder, `${Math.random()}.log`);
  writeFileSync(
    script,
    `for (let at = 0; at < ${lines}; at += 1) console.log('line ' + at);`,
  );
  const child = new Child('writer', script, [], log);
  startBusyWork();
  await child.waitEnd();
  return readFileSync(log, 'utf8');
}

When(
  '{int} processes that write {int} lines and end are run while files are written slowly',
  async function (this: ChildLogWorld, count: number, lines: number) {
    const folder = mkdtempSync(join(tmpdir(), 'child-log-'));
    this.logFolder = folder;
    this.logTexts = [];
    for (let at = 0; at < count; at += 1) {
      this.logTexts.push(await runChild(folder, lines));
    }
  },
);

Then('each log has {int} lines', function (this: ChildLogWorld, lines: number) {
  const counts = this.logTexts.map(text => text.split('\n').length - 1);
  assert.deepEqual(
    counts,
    counts.map(() => lines),
  );
});

After(function (this: ChildLogWorld) {
  if (this.logFolder !== undefined) rmSync(this.logFolder, {recursive: true});
});
