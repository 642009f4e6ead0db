import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {Effect, Exit} from 'effect';
import {ChangeOutcome} from '@greengagecross/client';
import {SeededRandom} from '@greengagecross/common';
import {
  computeOldestRetained,
  makeSegmentName,
  getSegmentSortKey,
  PART_PREFIX,
  type AcceptedConfiguration,
  type Retention,
} from '@greengagecross/platform';
import {setAnswer, type Answers} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';
import {NO_STORE_FAULTS} from './store_fault_plan.js';
import {RaceStage} from './race_stage.js';

const FIXTURE = readFixture(Deployment.VELO_COMPARTIDO);
const MAX_LOOSE_PARTS = 20;
const LOST_AND_LATE = {...NO_STORE_FAULTS, lost: 0.03, delayed: 0.03};
const DAEMON_READS_EACH = 7;
const CLEANING_RUNS = 20;

/** State of one scenario about what is kept. */
interface RetentionWorld extends World {
  stages: RaceStage[];
  retention: Retention;
  isFaulty: boolean;
}

function makeChange(customer: number, limit: number): Answers {
  const name = FIXTURE.customers[customer]?.name ?? '';
  return setAnswer(FIXTURE, `customers/${name}/atMostAtOnce`, limit);
}

async function readRevision(stage: RaceStage): Promise<number> {
  const current = await Effect.runPromise(stage.store.readCurrent());
  return current?.revision ?? 0;
}

/** Reads every kept revision as a new daemon and as the client would. */
async function checkKept(stage: RaceStage, kept: Retention): Promise<void> {
  const current = await readRevision(stage);
  const oldest = computeOldestRetained(current, kept);
  for (let revision = oldest; revision <= current; revision += 1) {
    const entry = await Effect.runPromise(stage.store.readRevision(revision));
    assert.ok(entry, `revision ${revision} of ${current}`);
    await Effect.runPromise(stage.store.readConfiguration(entry.record));
    await stage.read(revision);
  }
}

Given(
  /^a store that keeps (\d+) revisions, with (.+), seeds 1 to (\d+)$/,
  async function (
    this: RetentionWorld,
    kept: string,
    faults: string,
    seeds: string,
  ) {
    this.isFaulty = faults !== 'no faults';
    this.retention = {
      retainedRevisions: Number(kept),
      maxUnpackedParts: MAX_LOOSE_PARTS,
    };
    this.stages = [];
    for (let seed = 1; seed <= Number(seeds); seed += 1) {
      const stage = new RaceStage(seed, this.retention);
      assert.ok(Exit.isSuccess(await stage.accept('first', FIXTURE, 0)));
      this.stages.push(stage);
    }
  },
);

When(
  '{int} changes are accepted, each third one by going back',
  async function (this: RetentionWorld, changes: number) {
    for (const [seed, stage] of this.stages.entries()) {
      const random = new SeededRandom(seed + 1);
      let held: AcceptedConfiguration | undefined;
      for (let change = 1; change <= changes; change += 1) {
        const base = await readRevision(stage);
        const oldest = computeOldestRetained(base, this.retention);
        const earlier = oldest + random.nextInt(base - oldest + 1);
        const customer = random.nextInt(FIXTURE.customers.length);
        const answers =
          change % 3 === 0
            ? await stage.read(earlier)
            : makeChange(customer, 1 + random.nextInt(5000));
        if (this.isFaulty) stage.faults.rates = LOST_AND_LATE;
        await stage.accept(`change-${change}`, answers, base);
        // Late writes and removals stay late until another call lets them land.
        stage.faults.rates = NO_STORE_FAULTS;
        await checkKept(stage, this.retention);
        if (change % DAEMON_READS_EACH !== 0) continue;
        const record = await Effect.runPromise(stage.store.readCurrent());
        assert.ok(record);
        const read = stage.store.readConfiguration(record, held);
        held = await Effect.runPromise(read);
      }
    }
  },
);

Then(
  'at each step every kept revision could be read whole',
  async function (this: RetentionWorld) {
    for (const stage of this.stages) {
      stage.setCalm();
      await checkKept(stage, this.retention);
      assert.ok((await readRevision(stage)) > 20);
    }
  },
);

Then(
  'in the end only the rows and segments of kept revisions are left',
  async function (this: RetentionWorld) {
    for (const stage of this.stages) {
      const current = await readRevision(stage);
      for (let run = 0; run < CLEANING_RUNS; run += 1) {
        await Effect.runPromise(stage.store.removeOldRevisions(current));
      }
      const oldest = computeOldestRetained(current, this.retention);
      const entry = await Effect.runPromise(stage.store.readRevision(oldest));
      const order = getSegmentSortKey(entry?.record.segment ?? '');
      assert.ok(order > getSegmentSortKey(makeSegmentName(1, 'first')));
      for (const key of stage.objects.bodies.keys()) {
        assert.ok(key.slice(PART_PREFIX.length) >= order, key);
      }
      const rows = stage.table.listAll().map(row => row.key);
      for (const kind of ['revision', 'operation']) {
        const held = rows.filter(k => k.startsWith(`configuration/${kind}/`));
        assert.equal(held.length, this.retention.retainedRevisions, kind);
      }
      await checkKept(stage, this.retention);
    }
  },
);

Then(
  'a change made from revision {int} is refused, and one made from none',
  async function (this: RetentionWorld, revision: number) {
    const [stage] = this.stages;
    assert.ok(stage);
    for (const base of [revision, 0]) {
      const exit = await stage.accept(`old-${base}`, makeChange(0, 7), base);
      assert.ok(Exit.isFailure(exit));
      assert.match(String(exit.cause), /no longer kept/);
    }
  },
);

Then(
  'an operation of a kept revision is still known',
  async function (this: RetentionWorld) {
    const [stage] = this.stages;
    assert.ok(stage);
    const before = await readRevision(stage);
    const again = await stage.accept('change-8', makeChange(1, 9), before);
    assert.ok(Exit.isSuccess(again));
    assert.equal(again.value.outcome, ChangeOutcome.ACCEPTED);
    assert.equal(await readRevision(stage), before);
  },
);

When(
  'ana changes a limit and {int} other changes follow',
  async function (this: RetentionWorld, others: number) {
    const [stage] = this.stages;
    assert.ok(stage);
    await stage.accept('ana', makeChange(0, 7), 1);
    for (let change = 1; change <= others; change += 1) {
      const base = await readRevision(stage);
      const current = await stage.read(base);
      const name = FIXTURE.customers[1]?.name ?? '';
      const id = `customers/${name}/atMostAtOnce`;
      const answers = setAnswer(current, id, change);
      await stage.accept(`other-${change}`, answers, base);
    }
  },
);

Then(
  'a conflict from before them names ana',
  async function (this: RetentionWorld) {
    const [stage] = this.stages;
    assert.ok(stage);
    const exit = await stage.accept('luis', makeChange(0, 8), 1);
    assert.ok(Exit.isSuccess(exit));
    const [conflict] = exit.value.conflicts;
    assert.equal(conflict?.changedBy, 'ana');
    assert.equal(conflict?.theirRevision, 2);
  },
);
