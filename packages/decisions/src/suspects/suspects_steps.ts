import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {SuspectState} from '@greengagecross/common';
import {SuspectBook} from './suspect_book.js';
import {TrialTable} from './trial_table.js';

const MS_PER_SECOND = 1000;
const TRIAL_MS = 60_000;
const REQUEST = 'request';

/** State of one scenario about suspects. */
interface SuspectWorld extends World {
  book: SuspectBook;
  nowMs: number;
  trials: TrialTable;
  isGranted: boolean;
}

Given(
  'a book of suspects that keeps entries for {int} s',
  function (this: SuspectWorld, seconds: number) {
    this.book = new SuspectBook(seconds * MS_PER_SECOND);
    this.nowMs = 0;
  },
);

When(
  /^a request meets in turn (.+)$/,
  function (this: SuspectWorld, events: string) {
    for (const event of events.split(', ')) applyEvent(this, event);
  },
);

Then(
  /^the book holds (\w+) against the request$/,
  function (this: SuspectWorld, expected: string) {
    const state = this.book.getState(REQUEST, this.nowMs);
    assert.equal(state ?? 'nothing', expected);
  },
);

When(
  '{int} requests are condemned and {int} others are suspected',
  function (this: SuspectWorld, condemned: number, suspected: number) {
    for (let index = 0; index < condemned; index += 1) {
      this.book.recordCrash(`guilty-${index}`, true, this.nowMs);
    }
    for (let index = 0; index < suspected; index += 1) {
      this.book.recordCrash(`other-${index}`, false, this.nowMs);
    }
  },
);

Then(
  'the book holds {int} entries and still the {int}',
  function (this: SuspectWorld, entries: number, condemned: number) {
    const {book, nowMs} = this;
    assert.equal(book.list(nowMs).length, entries);
    assert.equal(book.count(SuspectState.CONDEMNED, nowMs), condemned);
  },
);

Given(
  'a table of trials in which daemon-1 runs suspect a on engine-1',
  function (this: SuspectWorld) {
    this.trials = new TrialTable();
    assert.ok(askTrial(this, 'daemon-1', 'a', 'engine-1', 0, true));
  },
);

When(
  /^daemon-2 asks for suspect (\w) on (\S+) while (.+)$/,
  function (
    this: SuspectWorld,
    suspect: string,
    engine: string,
    standing: string,
  ) {
    if (standing === 'that was released') this.trials.release('daemon-1 a');
    const nowMs = standing.startsWith('the time') ? TRIAL_MS : 1;
    const isThere = standing !== 'daemon-1 is gone';
    const asked = askTrial(this, 'daemon-2', suspect, engine, nowMs, isThere);
    // An answer that was lost is asked for again.
    assert.equal(
      askTrial(this, 'daemon-2', suspect, engine, nowMs, isThere),
      asked,
    );
    this.isGranted = asked;
  },
);

Then(
  /^the trial is (granted|refused)$/,
  function (this: SuspectWorld, verdict: string) {
    assert.equal(this.isGranted, verdict === 'granted');
  },
);

function applyEvent(world: SuspectWorld, event: string): void {
  const {book, nowMs} = world;
  const atMs = nowMs;
  switch (event) {
    case 'a crash':
      book.recordCrash(REQUEST, false, nowMs);
      break;
    case 'a crash in its trial':
      book.recordCrash(REQUEST, true, nowMs);
      break;
    case 'an end':
      book.recordWhole(REQUEST, nowMs);
      break;
    case 'a send':
      book.recordRefused(REQUEST, nowMs);
      break;
    case 'news of guilt': {
      const state = SuspectState.CONDEMNED;
      book.observe({fingerprint: REQUEST, state, atMs}, nowMs);
      break;
    }
    case 'news of suspicion': {
      const state = SuspectState.SUSPECT;
      book.observe({fingerprint: REQUEST, state, atMs}, nowMs);
      break;
    }
    default:
      assert.match(event, /^\d+ s$/);
      world.nowMs += Number.parseInt(event, 10) * MS_PER_SECOND;
  }
}

function askTrial(
  world: SuspectWorld,
  holder: string,
  fingerprint: string,
  backend: string,
  nowMs: number,
  isThere: boolean,
): boolean {
  const attemptId = `${holder} ${fingerprint}`;
  const untilMs = nowMs + TRIAL_MS;
  const trial = {fingerprint, backend, holder, attemptId, untilMs};
  return world.trials.acquire(trial, nowMs, id => isThere || id === holder);
}
