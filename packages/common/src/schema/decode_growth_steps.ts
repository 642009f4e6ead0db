import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Schema} from 'effect';
import {decodeJson, ExcessProperties, parseJson} from './decode.js';
import {ValidationError} from './validation_error.js';

/** Measurements of one size stop once they have taken this long. */
const MAX_MEASURED_MS = 1500;
const MAX_ROUNDS = 12;
/** A round repeats the work for this long, above the clock's resolution. */
const ROUND_MS = 8;

/** World with work whose cost for two sizes of input is compared. */
interface GrowthWorld extends World {
  /** Does the work once; `size` is in units of its own. */
  work: (size: number) => void;
  ratio: number;
  isRead: boolean;
}

const NamesSchema = Schema.Struct({
  names: Schema.Array(Schema.String),
  counts: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
});

/** Texts, by what they hold; `size` is the number of repetitions. */
const TEXTS: Readonly<Record<string, (size: number) => string>> = {
  'escaped names in a string without an end': size =>
    '"[' + '\\"\\",'.repeat(size),
  'quotes and backslashes without an end': size => '"\\'.repeat(size),
  'strings of which the last has no end': size => '"a",'.repeat(size) + '"',
  'backslashes without an end': size => '"' + '\\'.repeat(size),
  'empty arrays': size => `{"names":[${'[],'.repeat(size)}[]]}`,
  'items of a wrong type': size => `{"names":[${'1,'.repeat(size)}1]}`,
  'fields that the schema does not name': size =>
    JSON.stringify(makeRecord(size, index => `field-${index}`)),
  'values of a wrong type under long keys': size =>
    JSON.stringify({
      names: [],
      counts: makeRecord(size, index => `${index}`.padStart(40, '-')),
    }),
};

function makeRecord(
  size: number,
  makeKey: (index: number) => string,
): Record<string, string> {
  return Object.fromEntries(
    Array.from({length: size}, (unused, index) => [makeKey(index), 'x']),
  );
}

/** Measures one run of the work in processor time: the least of some rounds. */
function computeProcessorMs(work: () => void): number {
  let leastMs = Infinity;
  let totalMs = 0;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const start = process.cpuUsage();
    let usedMs = 0;
    let runs = 0;
    do {
      work();
      runs += 1;
      const {user, system} = process.cpuUsage(start);
      usedMs = (user + system) / 1000;
    } while (usedMs < ROUND_MS);
    leastMs = Math.min(leastMs, usedMs / runs);
    totalMs += usedMs;
    if (totalMs > MAX_MEASURED_MS) break;
  }
  return leastMs;
}

function decode(text: string): void {
  decodeJson(NamesSchema, text, 'names', ExcessProperties.REFUSED);
}

Given(
  /^the work of decoding (.+)$/,
  function (this: GrowthWorld, name: string) {
    const make = TEXTS[name];
    assert.ok(make !== undefined, `no text ${name}`);
    const texts = new Map<number, string>();
    this.work = size => {
      const text = texts.get(size) ?? make(size);
      texts.set(size, text);
      assert.throws(() => decode(text), ValidationError);
    };
  },
);

When(
  'its processor time is measured for {int} and for {int} repetitions',
  function (this: GrowthWorld, few: number, many: number) {
    // Both sizes run once before, so that neither is measured uncompiled.
    this.work(few);
    const fewMs = computeProcessorMs(() => this.work(few));
    this.ratio = computeProcessorMs(() => this.work(many)) / fewMs;
  },
);

Then(
  /^(?:four|sixteen) times the input takes less than (\d+) times the processor time$/,
  function (this: GrowthWorld, bound: string) {
    assert.ok(this.ratio < Number(bound), `${this.ratio.toFixed(1)} times`);
  },
);

When(/^(.+) is decoded$/, function (this: GrowthWorld, name: string) {
  const nested = '['.repeat(101) + ']'.repeat(101);
  const texts: Readonly<Record<string, string>> = {
    '100 nested arrays': '['.repeat(100) + ']'.repeat(100),
    '101 nested arrays': nested,
    '101 nested arrays after an escaped quote': `["\\"", ${nested}]`,
    "101 nested arrays after a string's false end": `["\\\\", ${nested}]`,
  };
  try {
    parseJson(texts[name] ?? name, 'text');
    this.isRead = true;
  } catch (thrown) {
    assert.ok(thrown instanceof ValidationError, String(thrown));
    this.isRead = false;
  }
});

Then(
  /^the JSON text is (read|rejected)$/,
  function (this: GrowthWorld, verdict: string) {
    assert.equal(this.isRead, verdict === 'read');
  },
);
