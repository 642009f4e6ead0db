import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import type {ConfigurationFollower} from '@greengagecross/daemon';
import type {TableRow} from '@greengagecross/platform';
import {setAnswer, type Answers} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';
import {FollowerStage} from './follower_stage.js';

const CURRENT_KEY = 'configuration/current';
const FIXTURE = readFixture(Deployment.REGISTRY);
const CHANGED = 'customers/arima-cabinets/atMostAtOnce';
const SECOND = setAnswer(FIXTURE, CHANGED, 7);
const MANY_CHANGED = 'customer-12345';

/** State of one scenario about followers. */
interface FollowerWorld extends World {
  stage: FollowerStage;
  follower: ConfigurationFollower;
  pastRows: readonly TableRow[];
  answers: Answers;
}

async function pollOnce(follower: ConfigurationFollower): Promise<void> {
  await Effect.runPromise(follower.poll());
}

Given(
  /^configuration followers a and b, where (.+)$/,
  async function (this: FollowerWorld, held: string) {
    const stage = new FollowerStage();
    this.stage = stage;
    this.follower = stage.makeFollower();
    if (held === 'nobody has any') return;
    stage.other = stage.makeFollower();
    await stage.accept(FIXTURE, 0);
    this.pastRows = stage.table.listAll();
    if (held !== 'only b has 2') await pollOnce(this.follower);
    if (held === 'both have 1') {
      await pollOnce(stage.other);
      return;
    }
    await stage.accept(SECOND, 1);
    await pollOnce(stage.other);
    if (held === 'both have 2') await pollOnce(this.follower);
  },
);

When(
  /^for the follower (.+)$/,
  async function (this: FollowerWorld, event: string) {
    const {stage} = this;
    switch (event) {
      case 'revision 2 is accepted and polled':
        await stage.accept(SECOND, 1);
        break;
      case 'the store shows revision 1':
        stage.table.setPast(this.pastRows);
        break;
      case 'the store shows nothing':
        stage.table.setPast([]);
        break;
      case 'the store is down':
        stage.faults.isDown = true;
        break;
      case 'the store was down and answers again':
        stage.faults.isDown = true;
        await pollOnce(this.follower);
        stage.faults.isDown = false;
        break;
      case 'revision 2 has an edited part':
        await acceptSecond(this);
        updateParts(this, body => Buffer.from(`${body.toString()} `));
        break;
      case 'revision 2 has a missing part':
        await acceptSecond(this);
        updateParts(this, () => undefined);
        break;
      case 'the store is down and b gives edited parts':
        stage.faults.isDown = true;
        stage.isPeerWrong = true;
        break;
      case 'the current row is edited':
        stage.table.state.transact({
          conditions: [],
          writes: [{key: CURRENT_KEY, value: '{"revision": 9}'}],
          deletes: [],
        });
        break;
      default:
        throw new Error(`no event: ${event}`);
    }
    await pollOnce(this.follower);
  },
);

Then(
  /^follower a has revision (\d+), (confirmed|not confirmed), refusing (.+)$/,
  function (
    this: FollowerWorld,
    revision: string,
    confirmed: string,
    refused: string,
  ) {
    const state = this.follower.getState();
    assert.equal(state.revision, Number(revision));
    assert.equal(state.isCurrent, confirmed === 'confirmed');
    assert.equal(state.refused !== undefined, refused !== 'nothing');
    assert.equal(this.follower.countRefusals() > 0, refused !== 'nothing');
  },
);

Given(
  'a configuration store with {int} customers and a follower that has them',
  async function (this: FollowerWorld, count: number) {
    const [template] = FIXTURE.customers;
    assert.ok(template);
    const customers = Array.from({length: count}, (unused, at) => ({
      ...template,
      name: `customer-${at}`,
    }));
    this.stage = new FollowerStage();
    this.answers = {...FIXTURE, customers};
    await this.stage.accept(this.answers, 0);
    this.follower = this.stage.makeFollower();
    await pollOnce(this.follower);
    assert.equal(this.follower.getState().customers, count);
  },
);

When("one customer's limit is changed", async function (this: FollowerWorld) {
  const id = `customers/${MANY_CHANGED}/atMostAtOnce`;
  await this.stage.accept(setAnswer(this.answers, id, 7), 1);
});

Then(
  'the follower reads at most {int} bytes and finds the new limit',
  async function (this: FollowerWorld, limit: number) {
    const {objects} = this.stage;
    const before = objects.readBytes;
    await pollOnce(this.follower);
    assert.ok(objects.readBytes - before <= limit);
    const customer = this.follower.getView()?.findCustomer(MANY_CHANGED);
    assert.equal(customer?.maxInFlight, 7);
  },
);

Then(
  'a new follower reads everything in at most {int} calls',
  async function (this: FollowerWorld, limit: number) {
    const {faults} = this.stage;
    const before = faults.calls;
    const follower = this.stage.makeFollower();
    await pollOnce(follower);
    assert.equal(follower.getState().revision, 2);
    assert.ok(faults.calls - before <= limit, `${faults.calls - before}`);
  },
);

async function acceptSecond(world: FollowerWorld): Promise<void> {
  if (world.stage.other?.getView()?.revision === 2) return;
  await world.stage.accept(SECOND, 1);
}

/** Edits every part that the follower does not hold. */
function updateParts(
  world: FollowerWorld,
  edit: (body: Buffer) => Buffer | undefined,
): void {
  const held = world.follower.getView()?.getBodies();
  for (const [key, body] of world.stage.objects.bodies) {
    const digest = key.split('/').at(-1) ?? '';
    if (held?.has(digest) === true) continue;
    const edited = edit(body);
    if (edited === undefined) world.stage.objects.bodies.delete(key);
    else world.stage.objects.bodies.set(key, edited);
  }
}
