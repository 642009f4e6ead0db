import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {Given, Then, type World} from '@cucumber/cucumber';
import {CLIENT_SCRIPT} from '../fleet/fleet.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../../../..');
const PAGES = join(ROOT, 'docs/operations');
const MAX_STATUS_COLUMNS = 80;
const METRIC = /\bgreengagecross_[a-z_]+/g;
const METRIC_SUFFIX = /_(bucket|sum|count)$/;
const LOG_LINE = /greengagecross:([a-z_]+)(?: ([A-Z][^.`]*\.))?/g;
/** A command in a code block or between backticks. */
const COMMAND = /(?:\$ |`)greengagecross ([a-z]+)([^`\n]*)/g;
const OPTION = /--([a-z]+)/g;
const LINK = /\]\(([a-z_./]+\.md)\)/g;

/** State of the scenario about the operators' pages. */
interface RunbookWorld extends World {
  pages: Map<string, string>;
}

/** Lists every match of a pattern in the pages, with its page. */
function listMatches(
  world: RunbookWorld,
  pattern: RegExp,
): {page: string; match: RegExpMatchArray}[] {
  return [...world.pages].flatMap(([page, text]) =>
    [...text.matchAll(pattern)].map(match => ({page, match})),
  );
}

/** Reads the whole source of packages. */
function readSource(...names: readonly string[]): string {
  const texts: string[] = [];
  for (const name of names) {
    const folder = join(ROOT, 'packages', name, 'src');
    for (const entry of readdirSync(folder, {recursive: true})) {
      const file = join(folder, String(entry));
      if (file.endsWith('.ts')) texts.push(readFileSync(file, 'utf8'));
    }
  }
  return texts.join('\n');
}

Given("the operators' pages", function (this: RunbookWorld) {
  const names = readdirSync(PAGES).filter(name => name.endsWith('.md'));
  this.pages = new Map(
    names.map(name => [name, readFileSync(join(PAGES, name), 'utf8')]),
  );
  assert.ok(this.pages.size > 5);
});

Then(
  'every metric that they name is in the source of a daemon',
  function (this: RunbookWorld) {
    const source = readSource('daemon', 'router', 'http', 'peers');
    const named = listMatches(this, METRIC);
    assert.ok(named.length > 0);
    for (const {page, match} of named) {
      const name = match[0].replace(METRIC_SUFFIX, '');
      const isThere =
        source.includes(`'${name}'`) || source.includes(`'${match[0]}'`);
      assert.ok(isThere, `${page} names ${match[0]}`);
    }
  },
);

Then(
  'every log prefix and log sentence that they name is in the source',
  function (this: RunbookWorld) {
    const source = readSource(
      'daemon',
      'router',
      'decisions',
      'platform',
      'peers',
    );
    const named = listMatches(this, LOG_LINE);
    assert.ok(named.length > 0);
    for (const {page, match} of named) {
      const [, part, sentence] = match;
      assert.ok(
        source.includes(`new Logger('${part}')`),
        `${page} names the prefix ${part}`,
      );
      if (sentence === undefined) continue;
      assert.ok(source.includes(sentence), `${page} names "${sentence}"`);
    }
  },
);

Then(
  "every command and option that they name is in the client's help",
  async function (this: RunbookWorld) {
    const help = new Map<string, string>();
    const named = listMatches(this, COMMAND);
    assert.ok(named.length > 0);
    for (const {page, match} of named) {
      const [, command = '', rest = ''] = match;
      const text = help.get(command) ?? (await readHelp(command));
      help.set(command, text);
      assert.ok(
        text.includes(`USAGE greengagecross ${command}`),
        `${page} names the command ${command}`,
      );
      for (const [, option] of rest.matchAll(OPTION)) {
        assert.ok(
          text.includes(`--${option}`),
          `${page} names --${option} of ${command}`,
        );
      }
    }
  },
);

Then('every page that they link to exists', function (this: RunbookWorld) {
  for (const {page, match} of listMatches(this, LINK)) {
    const target = join(PAGES, match[1] ?? '');
    assert.ok(existsSync(target), `${page} links to ${match[1]}`);
  }
});

Then(
  'none of their lines of output is wider than a terminal for status',
  function (this: RunbookWorld) {
    const lines = listMatches(this, /^ *(HOLDS|DEGRADED|UNKNOWN) .*$/gm);
    for (const {page, match} of lines) {
      const width = match[0].trim().length;
      assert.ok(width <= MAX_STATUS_COLUMNS, `${page}: ${match[0]}`);
    }
  },
);

async function readHelp(command: string): Promise<string> {
  const run = promisify(execFile);
  const args = [CLIENT_SCRIPT, command, '--help'];
  const {stdout} = await run(process.execPath, args);
  return stdout;
}
