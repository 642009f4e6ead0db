import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {Cause, Effect, Exit} from 'effect';
import {ChangeOutcome, type AcceptReport} from '@greengagecross/client';
import {setAnswer, type Answers} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';
import {NO_STORE_FAULTS, type StoreFaultRates} from './store_fault_plan.js';
import {RaceStage} from './race_stage.js';

const OUTAGE_CALLS = 40;
const FIRST_LIMIT = 1000;
const FIXTURE = readFixture(Deployment.VELO_COMPARTIDO);
const RATES: Readonly<Record<string, StoreFaultRates>> = {
  'no faults': NO_STORE_FAULTS,
  'an outage': NO_STORE_FAULTS,
  'lost replies': {...NO_STORE_FAULTS, lost: 0.1},
  'late writes': {...NO_STORE_FAULTS, delayed: 0.1},
  'every fault': {unreachable: 0.05, lost: 0.05, delayed: 0.05},
};

/** A change with what its operator was told. */
interface ToldChange {
  readonly id: string;
  readonly value: number;
  readonly exit: Exit.Exit<AcceptReport, Error>;
}

/** State of one scenario about racing operators. */
interface RaceWorld extends World {
  faultNames: string;
  stages: RaceStage[];
  told: Map<RaceStage, ToldChange[]>;
  isSame: boolean;
  report: AcceptReport;
}

Given(
  /^a configuration store with (.+), seeds 1 to (\d+)$/,
  async function (this: RaceWorld, faults: string, seeds: string) {
    this.faultNames = faults;
    this.stages = [];
    for (let seed = 1; seed <= Number(seeds); seed += 1) {
      const stage = new RaceStage(seed);
      getReport(await stage.accept('first', FIXTURE, 0));
      this.stages.push(stage);
    }
  },
);

When(
  /^(\d+) operators each accept a change of (different answers|the same answer)$/,
  async function (this: RaceWorld, count: string, what: string) {
    this.isSame = what === 'the same answer';
    this.told = new Map();
    for (const stage of this.stages) {
      this.told.set(stage, await runRace(stage, this, Number(count)));
      stage.setCalm();
    }
  },
);

Then(
  'every change told accepted stands, once, and every revision is whole',
  async function (this: RaceWorld) {
    let acceptedByAll = 0;
    for (const [stage, told] of this.told) {
      const history = await checkWhole(stage);
      const final = await stage.read(history.length);
      let accepted = 0;
      for (const {id, value, exit} of told) {
        const operations = history.filter(
          entry =>
            entry.record.acceptedBy === `operator-${value - FIRST_LIMIT}`,
        );
        assert.ok(operations.length <= 1, 'applied twice');
        if (!Exit.isSuccess(exit)) continue;
        const isAccepted = exit.value.outcome === ChangeOutcome.ACCEPTED;
        assert.equal(operations.length, isAccepted ? 1 : 0);
        if (!isAccepted) continue;
        accepted += 1;
        assert.equal(readLimit(final, id), value, 'a change was lost');
      }
      if (this.isSame) assert.ok(accepted <= 1, 'a conflict was not seen');
      const isQuiet = this.faultNames === 'no faults';
      if (isQuiet) assert.equal(accepted, this.isSame ? 1 : told.length);
      acceptedByAll += accepted;
    }
    assert.ok(acceptedByAll > 0, 'no change was accepted at all');
  },
);

Then(
  'racing again with the same seeds gives the same calls',
  async function (this: RaceWorld) {
    for (const [at, stage] of this.stages.entries()) {
      const again = new RaceStage(at + 1);
      getReport(await again.accept('first', FIXTURE, 0));
      await runRace(again, this, this.told.get(stage)?.length ?? 0);
      assert.deepEqual(again.faults.trace, stage.faults.trace);
    }
  },
);

When(
  /^the client is killed (before|after) each call in turn and the command is run again$/,
  async function (this: RaceWorld, when: string) {
    const answers = setAnswer(FIXTURE, makeLimitId(0), 7);
    const counting = new RaceStage(1);
    await counting.accept('first', FIXTURE, 0);
    const before = counting.faults.calls;
    await counting.accept('ana', answers, 1);
    const steps = counting.faults.calls - before;
    assert.ok(steps > 5);
    this.stages = [];
    for (let step = 1; step <= steps; step += 1) {
      const stage = new RaceStage(1);
      await stage.accept('first', FIXTURE, 0);
      const at = stage.faults.calls + step;
      if (when === 'before') stage.faults.killBeforeCall = at;
      else stage.faults.killAfterCall = at;
      const killed = await stage.accept('ana', answers, 1);
      assert.ok(Exit.isFailure(killed));
      assert.ok(Cause.hasInterrupts(killed.cause));
      stage.setCalm();
      await checkWhole(stage);
      getReport(await stage.accept('ana', answers, 1));
      this.stages.push(stage);
    }
  },
);

Then(
  'the change stands exactly once each time',
  async function (this: RaceWorld) {
    for (const stage of this.stages) {
      const history = await checkWhole(stage);
      assert.equal(history.length, 2);
      assert.equal(readLimit(await stage.read(2), makeLimitId(0)), 7);
    }
  },
);

When(
  'ana answers a limit {int} and then luis, from the same base, {int}',
  async function (this: RaceWorld, first: number, second: number) {
    const [stage] = this.stages;
    assert.ok(stage);
    const id = makeLimitId(0);
    await stage.accept('ana', setAnswer(FIXTURE, id, first), 1);
    const change = setAnswer(FIXTURE, id, second);
    this.report = getReport(await stage.accept('luis', change, 1));
  },
);

Then(
  "luis sees a conflict with ana's {int} of revision {int} and his own {int}",
  function (this: RaceWorld, theirs: number, revision: number, mine: number) {
    assert.equal(this.report.outcome, ChangeOutcome.CONFLICT);
    const [conflict] = this.report.conflicts;
    assert.ok(conflict);
    assert.equal(conflict.changedBy, 'ana');
    assert.equal(conflict.theirs, theirs);
    assert.equal(conflict.mine, mine);
    assert.equal(conflict.theirRevision, revision);
    assert.ok(conflict.changedAtMs > 0);
  },
);

When(
  'ana answers a limit {int} and goes back to revision {int}',
  async function (this: RaceWorld, limit: number, revision: number) {
    const [stage] = this.stages;
    assert.ok(stage);
    const change = setAnswer(FIXTURE, makeLimitId(0), limit);
    await stage.accept('ana', change, 1, 'there');
    await stage.accept('ana', await stage.read(revision), 2, 'back');
  },
);

Then(
  'revision {int} has the digest of revision {int}',
  async function (this: RaceWorld, newest: number, old: number) {
    const [stage] = this.stages;
    assert.ok(stage);
    const read = stage.store.readRevision(newest);
    const entry = await Effect.runPromise(read);
    const earlier = await Effect.runPromise(stage.store.readRevision(old));
    assert.ok(entry && earlier);
    assert.equal(entry.record.digest, earlier.record.digest);
  },
);

/** Lets operators race each other on a stage. */
async function runRace(
  stage: RaceStage,
  world: RaceWorld,
  count: number,
): Promise<ToldChange[]> {
  const rates = RATES[world.faultNames];
  assert.ok(rates, world.faultNames);
  const {faults} = stage;
  faults.rates = rates;
  if (world.faultNames === 'an outage') faults.planOutage(OUTAGE_CALLS);
  const changes = Array.from({length: count}, (unused, at) => {
    const id = makeLimitId(world.isSame ? 0 : at);
    return {id, value: FIRST_LIMIT + at, operator: `operator-${at}`};
  });
  const exits = await stage.runRace(
    changes.map(({id, value, operator}) => ({
      operator,
      answers: setAnswer(FIXTURE, id, value),
      baseRevision: 1,
    })),
  );
  return changes.flatMap((change, at) => {
    const exit = exits[at];
    return exit === undefined ? [] : [{...change, exit}];
  });
}

/** Checks that revisions follow each other and each can be read whole. */
async function checkWhole(
  stage: RaceStage,
): Promise<readonly {record: {revision: number; acceptedBy: string}}[]> {
  const {store} = stage;
  const entries = await Effect.runPromise(store.listHistory());
  const history = [...entries].reverse();
  for (const [at, {record}] of history.entries()) {
    assert.equal(record.revision, at + 1);
    await Effect.runPromise(store.readConfiguration(record));
    await stage.read(record.revision);
  }
  return history;
}

function getReport(exit: Exit.Exit<AcceptReport, Error>): AcceptReport {
  if (!Exit.isSuccess(exit)) throw Cause.squash(exit.cause);
  return exit.value;
}

function makeLimitId(at: number): string {
  const name = FIXTURE.customers[at]?.name ?? '';
  return `customers/${name}/atMostAtOnce`;
}

function readLimit(answers: Answers, id: string): number | undefined {
  const name = id.split('/')[1];
  return answers.customers.find(customer => customer.name === name)
    ?.atMostAtOnce;
}
