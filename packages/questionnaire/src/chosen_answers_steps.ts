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

const NAME_A = 'diocesis-del-valle';
const NAME_B = 'parroquia-san-jose';
const FIXTURE_FILE = new URL(
  '../fixtures/velo_compartido.answers.json',
  import.meta.url,
);
const BASE = parseAnswers(readFileSync(FIXTURE_FILE, 'utf8'), 'the fixture');

/** Fixture of scenarios in which an operator resolves a conflict. */
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

function applyChangeToA(text: string): Answers {
  const limit = parseLimit(text);
  if (limit === undefined) return removeAnswer(BASE, `customers/${NAME_A}`);
  return setAnswer(BASE, `customers/${NAME_A}/atMostAtOnce`, limit);
}

Given(
  /^one operator changes a to (removal|limit \d), another changes a to (removal|limit \d) and b to limit (\d)$/,
  function (this: ChosenWorld, mine: string, theirs: string, limit: string) {
    this.mine = applyChangeToA(mine);
    const id = `customers/${NAME_B}/atMostAtOnce`;
    this.theirs = setAnswer(applyChangeToA(theirs), id, Number(limit));
  },
);

Then(
  /^choosing (removal|limit \d) for a merges to (removal|limit \d) for a and limit (\d) for b$/,
  function (
    this: ChosenWorld,
    choice: string,
    result: string,
    limitOfB: string,
  ) {
    const {conflicts} = mergeAnswers(BASE, this.mine, this.theirs);
    const chosen = new Map(
      conflicts.map(({id}) => [id, parseLimit(choice)] as const),
    );
    const merge = mergeAnswers(BASE, this.mine, this.theirs, chosen);
    assert.ok(merge.merged, JSON.stringify(merge.problems));
    assert.equal(findLimit(merge.merged, NAME_A), parseLimit(result));
    assert.equal(findLimit(merge.merged, NAME_B), Number(limitOfB));
  },
);
