import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import {Effect, Exit} from 'effect';
import fc from 'fast-check';
import {ChangeOutcome} from '@greengagecross/client';
import {setAnswer} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';
import {RaceStage} from './race_stage.js';

const FIXTURE = readFixture(Deployment.VELO_COMPARTIDO);
const MAX_RATE = 0.08;

/** One random race. */
interface Race {
  readonly seed: number;
  /** Customer whose limit each operator changes. */
  readonly customers: readonly number[];
  readonly unreachable: number;
  readonly lost: number;
  readonly delayed: number;
}

const rate = fc.double({min: 0, max: MAX_RATE, noNaN: true});
const race = fc.record({
  seed: fc.integer({min: 1, max: 1_000_000}),
  customers: fc.array(fc.nat(FIXTURE.customers.length - 1), {
    minLength: 2,
    maxLength: 10,
  }),
  unreachable: rate,
  lost: rate,
  delayed: rate,
});

Then(
  '{int} random races over the configuration store keep every change told accepted, seed {int}',
  async function (runs: number, seed: number) {
    const property = fc.asyncProperty(race, runRace);
    await fc.assert(property, {seed, numRuns: runs});
  },
);

async function runRace(plan: Race): Promise<void> {
  const stage = new RaceStage(plan.seed);
  await stage.accept('first', FIXTURE, 0);
  stage.faults.rates = plan;
  const changes = plan.customers.map((customer, at) => {
    const name = FIXTURE.customers[customer]?.name ?? '';
    return {name, value: 1000 + at, operator: `operator-${at}`};
  });
  const exits = await stage.runRace(
    changes.map(({name, value, operator}) => ({
      operator,
      answers: setAnswer(FIXTURE, `customers/${name}/atMostAtOnce`, value),
      baseRevision: 1,
    })),
  );
  stage.setCalm();
  const history = await Effect.runPromise(stage.store.listHistory());
  const operations = history.map(entry => entry.record.operationId);
  assert.equal(new Set(operations).size, operations.length);
  history.forEach(({record}, at) =>
    assert.equal(record.revision, history.length - at),
  );
  const final = await stage.read(history.length);
  for (const [at, {name, value, operator}] of changes.entries()) {
    const exit = exits[at];
    const stands = operations.includes(operator);
    const found = final.customers.find(customer => customer.name === name);
    // One change of an answer stands at most, since all share a base.
    if (stands) assert.equal(found?.atMostAtOnce, value);
    if (exit === undefined || !Exit.isSuccess(exit)) continue;
    assert.equal(stands, exit.value.outcome === ChangeOutcome.ACCEPTED);
  }
}
