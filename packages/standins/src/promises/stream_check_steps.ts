import assert from 'node:assert/strict';
import {Then, When, World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {EventVerdict, StreamCheck} from '@greengagecross/daemon';

const SEED = 1;
const OWN_ID = 'chatcmpl-own';

/** A server-sent event with random fields. */
interface RandomEvent {
  readonly id?: string;
  readonly event?: string;
  readonly data: string;
}

/** Fixture of the scenario about random event sequences. */
interface CheckWorld extends World {
  sequences: RandomEvent[][];
}

const anyChunk = fc
  .record({
    id: fc.constantFrom(OWN_ID, OWN_ID, OWN_ID, 'chatcmpl-other'),
    choices: fc.constantFrom<unknown>(
      [{finish_reason: null}],
      [{finish_reason: 'stop'}],
      [{}],
      [],
      'none',
    ),
  })
  .map(chunk => JSON.stringify(chunk));

const anyEvent: fc.Arbitrary<RandomEvent> = fc.record(
  {
    id: fc.oneof(fc.nat(6).map(String), fc.string({maxLength: 3})),
    event: fc.constantFrom('error', 'message'),
    data: fc.oneof(
      {weight: 6, arbitrary: anyChunk},
      {weight: 2, arbitrary: fc.constant('[DONE]')},
      {weight: 1, arbitrary: fc.string()},
    ),
  },
  {requiredKeys: ['data']},
);

When(
  'a stream check receives {int} random sequences of events',
  function (this: CheckWorld, count: number) {
    const sequence = fc.array(anyEvent, {maxLength: 40});
    this.sequences = fc.sample(sequence, {seed: SEED, numRuns: count});
  },
);

Then(
  "the relayed events are always the beginning of the request's own answer",
  function (this: CheckWorld) {
    let relayed = 0;
    for (const events of this.sequences) relayed += checkSequence(events);
    assert.ok(relayed > 0, 'no event of any sequence was relayed');
  },
);

/** Checks one sequence and returns the number of relayed events. */
function checkSequence(events: readonly RandomEvent[]): number {
  const check = new StreamCheck('own');
  let next = 0;
  let hasFinished = false;
  for (const event of events) {
    const verdict = check.accept(event);
    if (verdict === EventVerdict.BROKEN) break;
    if (verdict === EventVerdict.DONE) {
      assert.ok(hasFinished && event.id === String(next));
      break;
    }
    if (verdict === EventVerdict.SKIP) continue;
    assert.equal(Number(event.id), next);
    assert.equal(event.event, undefined);
    assert.ok(event.data.includes(OWN_ID));
    hasFinished = hasFinished || event.data.includes('stop');
    next += 1;
  }
  return next;
}
