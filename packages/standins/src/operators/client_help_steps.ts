import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Then, type DataTable} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import {TestClock} from 'effect/testing';
import {ExitCode, isColoured, ProgressLine} from '@greengagecross/client';
import {runClient} from './client_run.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../../../..');
const FIRST_START = join(ROOT, 'docs/operations/first_start.md');
const NAME = /^[a-z]+$/;
const CLEARED = '\r\u001b[K';
/** Each command with the options that an operator needs of it. */
const COMMANDS: Readonly<Record<string, readonly string[]>> = {
  questionnaire: ['answers', 'current', 'remove', 'ask', 'out'],
  plan: ['answers', 'base'],
  accept: ['answers', 'base', 'reason', 'operation', 'rewrite', 'ask', 'wait'],
  history: [],
  rollback: ['to', 'reason', 'operation', 'rewrite', 'ask', 'wait'],
  status: [],
  dump: ['daemon'],
  explain: ['value', 'customer', 'chat', 'service', 'ticket', 'daemon'],
  drain: ['daemon', 'wait'],
};

Then(
  'the help of each command says what it does, each option and its exit codes',
  async function () {
    const main = await runClient(['--help'], tmpdir());
    assert.equal(main.code, ExitCode.OK);
    assert.match(main.output, /0 done.*1 .*2 .*3 .*4 /s);
    const listed = /^ +([a-z]+) {2,}\S/gm;
    const names = [...main.output.matchAll(listed)].map(([, name]) => name);
    assert.deepEqual(names.sort(), Object.keys(COMMANDS).sort());
    for (const [command, own] of Object.entries(COMMANDS)) {
      assert.match(command, NAME);
      const {code, output} = await runClient([command, '--help'], tmpdir());
      assert.equal(code, ExitCode.OK, output);
      assert.ok(output.includes(`USAGE greengagecross ${command}`), output);
      assert.match(output, /Exit codes/, command);
      for (const option of [...own, 'settings', 'json']) {
        const described = new RegExp(`--${option}\\S* .*[A-Z].*\\.`);
        assert.match(output, described, `${command} --${option}`);
      }
    }
  },
);

Then('the page on the first start documents every exit code', function () {
  const page = readFileSync(FIRST_START, 'utf8');
  const codes = Object.values(ExitCode).filter(c => typeof c === 'number');
  for (const code of codes) {
    assert.match(page, new RegExp(`Exit codes:.*\\b${code} [a-z]`), `${code}`);
  }
});

Then('output is coloured as the table says', function (table: DataTable) {
  for (const row of table.hashes()) {
    const environment = {NO_COLOR: row['NO_COLOR'] || undefined};
    const output = {isTTY: row['terminal'] === 'yes'};
    const expected = row['coloured'] === 'yes';
    assert.equal(isColoured(environment, output), expected, row['NO_COLOR']);
  }
});

Then(
  'the progress line is shown as the table says',
  async function (table: DataTable) {
    for (const row of table.hashes()) {
      const isTerminal = row['output'] === 'a terminal';
      const written = await readProgress(Number(row['work']), isTerminal);
      const seconds = (row['seconds'] ?? '').split(' ').filter(Boolean);
      const lines = seconds.map(second => `\rAt work ... ${second} s\u001b[K`);
      assert.deepEqual(written, isTerminal ? [...lines, CLEARED] : []);
    }
  },
);

/** Runs work beside a progress line in virtual time; returns the output. */
async function readProgress(workMs: number, isTTY: boolean): Promise<string[]> {
  const written: string[] = [];
  const output = {isTTY, write: (text: string) => written.push(text)};
  const work = new ProgressLine(output).track('At work', Effect.sleep(workMs));
  const program = Effect.gen(function* () {
    const running = yield* Effect.forkChild(work);
    yield* TestClock.adjust(workMs);
    yield* Fiber.join(running);
  });
  await Effect.runPromise(Effect.provide(program, TestClock.layer()));
  return written;
}
