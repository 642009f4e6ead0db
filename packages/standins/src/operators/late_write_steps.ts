import assert from 'node:assert/strict';
import {Then, When, type World} from '@cucumber/cucumber';
import {Effect, Exit} from 'effect';
import {ChangeOutcome, type AcceptReport} from '@greengagecross/client';
import {setAnswer, type Answers} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';
import {RaceStage} from './race_stage.js';

const FIXTURE = readFixture(Deployment.VELO_COMPARTIDO);
const LIMIT_ID = `customers/${FIXTURE.customers[0]?.name ?? ''}/atMostAtOnce`;
const SEED = 1;

/** What one late write led to. */
interface LateCase {
  readonly landedBefore: string;
  readonly exit: Exit.Exit<AcceptReport, Error>;
  readonly operators: readonly string[];
}

/** State of one scenario about a write that lands late. */
interface LateWorld extends World {
  lateCases: LateCase[];
}

When(
  /^a change's transaction lands late before each later call in turn(, and another operator changes the same answer after it)?$/,
  async function (this: LateWorld, another: string | null) {
    const counting = await makeStage();
    await counting.accept('ana', makeChange(7), 1);
    const transaction = counting.faults.trace.lastIndexOf('transact') + 1;
    const first = counting.faults.trace.indexOf('transact') + 1;
    const steps = transaction - first;
    assert.ok(steps > 5);
    this.lateCases = [];
    for (let step = 1; step <= steps; step += 1) {
      const at = transaction + step;
      this.lateCases.push(await runCase(transaction, at, another !== null));
    }
  },
);

Then(
  'it is told accepted and stands exactly once each time',
  function (this: LateWorld) {
    for (const {landedBefore, exit, operators} of this.lateCases) {
      assert.ok(Exit.isSuccess(exit), landedBefore);
      assert.equal(exit.value.outcome, ChangeOutcome.ACCEPTED, landedBefore);
      assert.equal(exit.value.revision, 2, landedBefore);
      const own = operators.filter(operator => operator === 'ana');
      assert.equal(own.length, 1, landedBefore);
    }
  },
);

async function runCase(
  transaction: number,
  at: number,
  isChangedAgain: boolean,
): Promise<LateCase> {
  const stage = await makeStage();
  const {faults} = stage;
  faults.lateTransaction = transaction;
  const land = Effect.sync(() => faults.applyLate());
  const change = {
    operator: 'luis',
    answers: makeChange(8),
    baseRevision: 2,
  };
  const again = Effect.andThen(land, stage.makeAccept(change));
  faults.beforeCall.set(at, isChangedAgain ? again : land);
  const exit = await stage.accept('ana', makeChange(7), 1);
  const landedBefore = `before call ${at}, ${faults.trace[at - 1] ?? 'none'}`;
  stage.setCalm();
  const history = await Effect.runPromise(stage.store.listHistory());
  const operators = history.map(({record}) => record.acceptedBy);
  return {landedBefore, exit, operators};
}

async function makeStage(): Promise<RaceStage> {
  const stage = new RaceStage(SEED);
  assert.ok(Exit.isSuccess(await stage.accept('first', FIXTURE, 0)));
  return stage;
}

function makeChange(limit: number): Answers {
  return setAnswer(FIXTURE, LIMIT_ID, limit);
}
