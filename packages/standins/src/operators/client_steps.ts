import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {ExitCode} from '@greengagecross/client';
import {setAnswer} from '@greengagecross/questionnaire';
import {FLEET_KEYS} from '../fleet/fleet.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {runClient, writeOperator, type ClientRun} from './client_run.js';

const BASE_REVISION = 1;

/** Runs a command of the client in the fleet's folder. */
function runIn(
  world: FleetWorld,
  args: readonly string[],
  input?: string,
): Promise<ClientRun> {
  return runClient(args, world.getFleet().folder, input);
}

/** Writes answers with limits of the first customers; returns the file. */
function writeLimits(
  world: FleetWorld,
  file: string,
  limits: readonly number[],
): string {
  const fleet = world.getFleet();
  let {answers} = fleet.plan;
  for (const [at, limit] of limits.entries()) {
    const id = `customers/${fleet.plan.customers[at]?.id}/atMostAtOnce`;
    answers = setAnswer(answers, id, limit);
  }
  const document = {...answers, basedOnRevision: BASE_REVISION};
  writeFileSync(fleet.findFile(file), JSON.stringify(document));
  return file;
}

Given(
  'a fleet that operators look at, with {int} daemons',
  async function (this: FleetWorld, daemons: number) {
    const fleet = await this.startFleet({
      daemons,
      engines: 2,
      workers: 1,
      customers: 2,
    });
    writeLimits(this, 'same.json', []);
    writeFileSync(fleet.findFile('wrong.json'), '{"deployment": 7}');
    writeOperator(fleet, 'greengagecross');
  },
);

Then(
  'explain says where the chat went and why, and where it would go now',
  async function (this: FleetWorld) {
    const customer = this.getFleet().plan.customers[0]?.id ?? '';
    const chat = ['--customer', customer, '--chat', 'chat'];
    const {code, output} = await runIn(this, ['explain', ...chat]);
    assert.equal(code, ExitCode.OK, output);
    const went = /request \S+ went to (\S+): its context is warm there/;
    const engine = went.exec(output)?.[1];
    assert.ok(engine, output);
    assert.ok(output.includes(`Warm: ${engine}.`), output);
    assert.match(output, /would send this chat of \S+ to engine-/);
    for (const line of output.split('\n').slice(0, 6)) {
      assert.ok(line.length <= 80, line);
    }
  },
);

Then(
  'explain names the answer that a value comes from',
  async function (this: FleetWorld) {
    const value = ['--value', 'services/assistant/deadlineMs'];
    const {code, output} = await runIn(this, ['explain', ...value]);
    assert.equal(code, ExitCode.OK, output);
    assert.ok(output.includes('engines/assistant/longestWaitSeconds'), output);
  },
);

Then(
  "dump shows a daemon's revision and nobody's key",
  async function (this: FleetWorld) {
    const {answers, customers} = this.getFleet().plan;
    const run = await runIn(this, ['dump', '--daemon', 'entry-1']);
    assert.equal(run.code, ExitCode.OK, run.output);
    const state = JSON.parse(run.output) as {
      self: {id: string};
      configuration: {revision: number};
    };
    assert.equal(state.self.id, 'entry-1');
    assert.equal(state.configuration.revision, BASE_REVISION);
    const secrets = [
      ...Object.values(FLEET_KEYS).flat(),
      ...customers.map(customer => customer.key),
      ...answers.customers.flatMap(({keyHashes}) => keyHashes),
    ];
    for (const secret of secrets) {
      const text = typeof secret === 'string' ? secret : JSON.stringify(secret);
      assert.ok(!run.output.includes(text), 'a key is in the dump');
    }
  },
);

Then(
  'drain with --wait ends when the daemon has ended with code 0',
  async function (this: FleetWorld) {
    const args = ['drain', '--daemon', 'entry-2', '--wait'];
    const {code, output} = await runIn(this, args);
    assert.equal(code, ExitCode.OK, output);
    assert.match(output, /entry-2 has ended after \d+\.\d s\./);
    const child = this.getFleet().getChild('entry-2');
    assert.equal(await child.waitEnd(), 0);
  },
);

Then(
  "the client's commands end as the table says",
  async function (this: FleetWorld, table: DataTable) {
    for (const {command = '', code, says = ''} of table.hashes()) {
      const run = await runIn(this, command.split(' '));
      const seen = `${command}: ${run.code} ${run.output}`;
      assert.equal(run.code, Number(code), seen);
      assert.ok(run.output.includes(says), seen);
    }
  },
);

When('the platform is down for operators', async function (this: FleetWorld) {
  await this.getFleet().setPlatformFaults({down: true});
});

When(
  "ana changes the first customer's limit to {int} and the second one's to {int}",
  async function (this: FleetWorld, first: number, second: number) {
    const ana = writeOperator(this.getFleet(), 'ana');
    const file = writeLimits(this, 'ana-answers.json', [first, second]);
    const accept = ['accept', '--answers', file, '--reason', 'quieter month'];
    const {code, output} = await runIn(this, [...accept, ...ana]);
    assert.equal(code, ExitCode.OK, output);
  },
);

Then(
  'accepting a limit of {int} for the first one, from the same base, is a conflict',
  async function (this: FleetWorld, limit: number) {
    const file = writeLimits(this, 'luis-answers.json', [limit]);
    const {code, output} = await runIn(this, ['accept', '--answers', file]);
    assert.equal(code, ExitCode.CONFLICT, output);
    assert.match(output, /theirs {2}50 {2}\(ana, .*quieter month\)/);
    assert.match(output, /yours {3}80/);
  },
);

Then(
  'answering {string} and then {string} when asked again accepts {int} and keeps {int}',
  async function (
    this: FleetWorld,
    wrong: string,
    right: string,
    first: number,
    second: number,
  ) {
    const accept = ['accept', '--answers', 'luis-answers.json', '--ask'];
    const asked = await runIn(this, accept, `${wrong}\n${right}\n`);
    assert.equal(asked.code, ExitCode.OK, asked.output);
    assert.match(asked.output, /Revision 3 is accepted, with 1 changed/);
    const read = ['questionnaire', '--current', '--json'];
    const {output} = await runIn(this, read);
    const {customers} = JSON.parse(output) as {
      customers: {name: string; atMostAtOnce: number}[];
    };
    const limits = this.getFleet()
      .plan.customers.slice(0, 2)
      .map(({id}) => customers.find(c => c.name === id)?.atMostAtOnce);
    assert.deepEqual(limits, [first, second]);
  },
);

When('{word} is frozen for operators', function (this: FleetWorld, id: string) {
  this.getFleet().getChild(id).send('SIGSTOP');
});

Then(
  'accepting a limit of {int} with --wait ends with code {int} and names {word}',
  async function (this: FleetWorld, limit: number, code: number, id: string) {
    const customer = this.getFleet().plan.customers[0]?.id ?? '';
    const answer = `customers/${customer}/atMostAtOnce=${limit}`;
    const read = ['questionnaire', '--current', '--out', 'new.json', answer];
    assert.equal((await runIn(this, read)).code, ExitCode.OK);
    const accept = ['accept', '--answers', 'new.json', '--wait'];
    const run = await runIn(this, accept);
    this.getFleet().getChild(id).send('SIGCONT');
    assert.equal(run.code, code, run.output);
    assert.ok(run.output.includes(`${id} does not answer.`), run.output);
  },
);
