import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync, rmSync} from 'node:fs';

/**
 * Scenarios with this tag measure a process of their own, which other load
 * would disturb: they run in a second pass, one at a time.
 */
const ALONE_TAG = '@alone';
/** Options and report of each pass of cucumber. */
const PASSES = [
  {options: ['--tags', `not ${ALONE_TAG}`], report: 'out/tests.ndjson'},
  {
    options: ['--tags', ALONE_TAG, '--parallel', '0'],
    report: 'out/tests_alone.ndjson',
  },
];
const KNOWN_RED = 'KNOWN-RED.txt';
/** Of the first failed step; the last lines of a run may be all that is kept. */
const MAX_MESSAGE_LENGTH = 1500;
const ALL_FEATURES = [
  'packages/*/src/**/*.feature',
  'platform/src/**/*.feature',
];

/** Reads the names of scenarios that are known to fail: text before ` | `. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED)) return new Set();
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n');
  return new Set(
    lines
      .filter(line => line.trim() !== '' && !line.startsWith('#'))
      .map(line => line.split(' | ')[0].trim()),
  );
}

/**
 * Reads each scenario's name and the messages of its failed steps, and whether
 * the run was reported to its end.
 */
function readResults(report) {
  const pickles = new Map();
  const cases = new Map();
  const attempts = new Map();
  const failures = new Map();
  let isComplete = false;
  for (const line of readFileSync(report, 'utf8').split('\n')) {
    if (line === '') continue;
    const message = JSON.parse(line);
    if (message.testRunFinished) isComplete = true;
    if (message.pickle) pickles.set(message.pickle.id, message.pickle);
    if (message.testCase) {
      cases.set(message.testCase.id, message.testCase.pickleId);
    }
    if (message.testCaseStarted) {
      attempts.set(
        message.testCaseStarted.id,
        cases.get(message.testCaseStarted.testCaseId),
      );
    }
    if (message.testStepFinished) {
      const {testCaseStartedId, testStepResult} = message.testStepFinished;
      if (testStepResult.status !== 'PASSED') {
        const messages = failures.get(testCaseStartedId) ?? [];
        messages.push(testStepResult.message ?? testStepResult.status);
        failures.set(testCaseStartedId, messages);
      }
    }
  }
  const results = [...attempts].map(([attempt, pickleId]) => {
    const {name, uri} = pickles.get(pickleId);
    const messages = failures.get(attempt) ?? [];
    return {
      name: `${uri}: ${name}`,
      isPassed: messages.length === 0,
      firstMessage: (messages[0] ?? '').slice(0, MAX_MESSAGE_LENGTH),
    };
  });
  return {results, isComplete};
}

/** Runs the features once; returns the exit status and the results. */
function runPass(features, {options, report}) {
  // The report of an earlier run must not stand for one that was not written.
  rmSync(report, {force: true});
  const formats = ['--format', 'progress', '--format', `message:${report}`];
  const {status} = spawnSync(
    'npx',
    ['cucumber-js', ...features, ...options, ...formats],
    {stdio: 'inherit'},
  );
  if (!existsSync(report)) return {status, results: [], isComplete: false};
  return {status, ...readResults(report)};
}

/** Returns whether a pass ended early, or failed without a failed scenario. */
function isBroken({status, results, isComplete}) {
  if (!isComplete) return true;
  return status !== 0 && results.every(result => result.isPassed);
}

mkdirSync('out', {recursive: true});
const chosen = process.argv.slice(2);
const features = chosen.length === 0 ? ALL_FEATURES : chosen;
const passes = PASSES.map(pass => runPass(features, pass));
// All features together have scenarios for each pass; chosen ones may not.
const isPassEmpty =
  chosen.length === 0 && passes.some(({results}) => results.length === 0);
const knownRed = readKnownRed();
const results = passes.flatMap(pass => pass.results);
const red = results.filter(result => !result.isPassed);
const surprising = red.filter(result => !knownRed.has(result.name));
for (const {name, firstMessage} of red) {
  process.stdout.write(
    `${knownRed.has(name) ? 'known red' : 'FAILED'}: ${name}\n${firstMessage}\n`,
  );
}
const passed = results.length - red.length;
process.stdout.write(`${passed} passed, ${surprising.length} failed\n`);
const isFailed =
  surprising.length > 0 || passes.some(isBroken) || isPassEmpty || passed === 0;
process.exit(isFailed ? 1 : 0);
