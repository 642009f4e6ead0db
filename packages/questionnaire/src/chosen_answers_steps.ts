import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Given, Then, type World} from '@cucumber/cucumber';
import {
  mergeAnswers,
  parseAnswers,
  removeAnswer,
  setAnswer,
  type Answers,
} from './index.js';

const A = 'diocesis-del-valle';
const B = 'parroquia-san-jose';
const FILE = new URL(
  '../fixtures/velo_compartido.answers.json',
  import.meta.url,
);
const BASE = parseAnswers(readFileSync(FILE, 'utf8'), 'the fixture');

/** State of one scenario about a conflict that is asked again. */
interface ChosenWorld extends World {
  mine: Answers;
  theirs: Answers;
}

function findLimit(answers: Answers, name: string): number | undefined {
  return answers.customers.find(c => c.name === name)?.atMostAtOnce;
}

function parseLimit(text: string): number | undefined {
  return text === 'removal' ? undefined : Number(text.replace('limit ', ''));
}

function makeChangeOfA(text: string): Answers {
  const limit = parseLimit(text);
  if (limit === undefined) return removeAnswer(BASE, `customers/${A}`);
  return setAnswer(BASE, `customers/${A}/atMostAtOnce`, limit);
}

Given(
  /^one operator gives a (removal|limit \d), another gives it (removal|limit \d) and b limit (\d)$/,
  function (this: ChosenWorld, mine: string, theirs: string, limit: string) {
    this.mine = makeChangeOfA(mine);
    const id = `customers/${B}/atMostAtOnce`;
    this.theirs = setAnswer(makeChangeOfA(theirs), id, Number(limit));
  },
);

Then(
  /^choosing (removal|limit \d) for a gives it (removal|limit \d) and keeps b's limit (\d)$/,
  function (this: ChosenWorld, choice: string, result: string, kept: string) {
    const {conflicts} = mergeAnswers(BASE, this.mine, this.theirs);
    const chosen = new Map(
      conflicts.map(({id}) => [id, parseLimit(choice)] as const),
    );
    const merge = mergeAnswers(BASE, this.mine, this.theirs, chosen);
    assert.ok(merge.merged, JSON.stringify(merge.problems));
    assert.equal(findLimit(merge.merged, A), parseLimit(result));
    assert.equal(findLimit(merge.merged, B), Number(kept));
  },
);
