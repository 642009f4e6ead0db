import {spawnSync} from 'node:child_process';
import {existsSync, mkdirSync, readFileSync} from 'node:fs';

const REPORT = 'out/tests.ndjson';
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

/** Reads each scenario's name and the messages of its failed steps. */
function readResults() {
  const pickles = new Map();
  const cases = new Map();
  const attempts = new Map();
  const failures = new Map();
  for (const line of readFileSync(REPORT, 'utf8').split('\n')) {
    if (line === '') continue;
    const message = JSON.parse(line);
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
  return [...attempts].map(([attempt, pickleId]) => {
    const {name, uri} = pickles.get(pickleId);
    const messages = failures.get(attempt) ?? [];
    return {
      name: `${uri}: ${name}`,
      isPassed: messages.length === 0,
      firstMessage: (messages[0] ?? '').slice(0, MAX_MESSAGE_LENGTH),
    };
  });
}

mkdirSync('out', {recursive: true});
const chosen = process.argv.slice(2);
const run = spawnSync(
  'npx',
  [
    'cucumber-js',
    ...(chosen.length === 0 ? ALL_FEATURES : chosen),
    '--format',
    'progress',
    '--format',
    `message:${REPORT}`,
  ],
  {stdio: 'inherit'},
);
const knownRed = readKnownRed();
const results = readResults();
const red = results.filter(result => !result.isPassed);
const surprising = red.filter(result => !knownRed.has(result.name));
for (const {name, firstMessage} of red) {
  process.stdout.write(
    `${knownRed.has(name) ? 'known red' : 'FAILED'}: ${name}\n${firstMessage}\n`,
  );
}
const passed = results.length - red.length;
process.stdout.write(`${passed} passed, ${surprising.length} failed\n`);
const isBroken = run.status !== 0 && red.length === 0;
process.exit(surprising.length > 0 || isBroken || passed === 0 ? 1 : 0);
