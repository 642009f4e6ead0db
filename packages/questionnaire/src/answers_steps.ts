import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  PriorityClass,
  ValidationError,
  type BackendServer,
} from '@greengagecross/common';
import {
  checkAnswers,
  encodeConfiguration,
  listChanges,
  listEntries,
  makeAnswers,
  makeConfiguration,
  mergeAnswers,
  parseAnswers,
  sortAnswers,
  type Answers,
  type CustomerAnswers,
} from './index.js';

const [NAME_A, NAME_B] = ['diocesis-del-valle', 'parroquia-san-jose'] as const;

type Mutable = Record<string, Record<string, unknown>[]>;

/** Fixture of scenarios on answers; two operators change copies of them. */
interface AnswersWorld extends World {
  answersText: string;
  answers: Answers;
  mine: Answers;
  theirs: Answers;
}

/** Changes that make a document of answers invalid, by description. */
const FAULTS: Readonly<Record<string, (answers: Mutable) => void>> = {
  'a wait of zero seconds': a => (a['engines']![0]!['longestWaitSeconds'] = 0),
  'a service name used twice': a =>
    (a['plainServices']![0]!['name'] = 'model-desk'),
  'a customer used twice': a => a['customers']!.push(a['customers']![0]!),
  'a customer of an unknown service': a =>
    (a['customers']![0]!['services'] = ['letters']),
  'a model service without servers': a => (a['engines']![0]!['servers'] = []),
  'two servers at one address': a => {
    const servers = a['plainServices']![0]!['servers'] as {host: string}[];
    servers[1]!.host = servers[0]!.host;
  },
  'one engine managed by two services': a => {
    const first = {...a['engines']![0]!, modelVersion: 'v2', otherWork: []};
    a['engines'] = [first, {...first, name: 'second'}];
  },
  'an answer without a question': a => (a['engines']![0]!['colour'] = 'blue'),
};

Given(
  /^the questionnaire's fixture of (\w+)$/,
  function (this: AnswersWorld, deployment: string) {
    const file = new URL(
      `../fixtures/${deployment}.answers.json`,
      import.meta.url,
    );
    this.answersText = readFileSync(file, 'utf8');
    this.answers = parseAnswers(this.answersText, deployment);
  },
);

Then(
  'its answers are valid and generate the same configuration, byte for byte, each time',
  function (this: AnswersWorld) {
    const copy = sortAnswers(parseAnswers(this.answersText, 'the copy'));
    assert.deepEqual(checkAnswers(this.answers), []);
    assert.equal(
      encodeConfiguration(makeConfiguration(this.answers)),
      encodeConfiguration(makeConfiguration(copy)),
    );
  },
);

Then(
  'it has {int} engines, {int} plain servers, {int} zones, {int} customers and prefers {string}',
  function (
    this: AnswersWorld,
    engines: number,
    workers: number,
    zones: number,
    customers: number,
    preference: string,
  ) {
    const [engine] = this.answers.engines;
    const [plain] = this.answers.plainServices;
    assert.ok(engine && plain);
    assert.equal(engine.servers.length, engines);
    assert.equal(plain.servers.length, workers);
    const zonesInUse = engine.servers.map(server => server.availabilityZone);
    assert.equal(new Set(zonesInUse).size, zones);
    assert.equal(this.answers.customers.length, customers);
    assert.equal(engine.mattersMore, preference);
  },
);

Then('it has work of every priority class', function (this: AnswersWorld) {
  const {services} = makeConfiguration(this.answers);
  const classes = new Set(services.map(service => service.priority));
  assert.deepEqual(classes, new Set(Object.values(PriorityClass)));
});

When(/^its answers have (.+)$/, function (this: AnswersWorld, fault: string) {
  const document = JSON.parse(this.answersText) as Mutable;
  assert.ok(FAULTS[fault], `no invalid answers with ${fault}`);
  FAULTS[fault](document);
  this.answersText = JSON.stringify(document);
});

Then(
  'its answers are refused with a message that contains {string}',
  function (this: AnswersWorld, path: string) {
    assert.throws(
      () => parseAnswers(this.answersText, 'answers'),
      (error: unknown) =>
        error instanceof ValidationError && error.message.includes(path),
    );
  },
);

When(
  /^one operator answers (.+) and another (.+)$/,
  function (this: AnswersWorld, mine: string, theirs: string) {
    this.mine = applyNamedChange(this.answers, mine);
    this.theirs = applyNamedChange(this.answers, theirs);
  },
);

Then(
  /^merging their answers gives (both changes|a conflict|a problem)(?: at (.+))?$/,
  function (this: AnswersWorld, result: string, path: string | undefined) {
    const base = this.answers;
    const merge = mergeAnswers(base, this.mine, this.theirs);
    if (result === 'a conflict') {
      assert.deepEqual(
        merge.conflicts.map(conflict => conflict.id),
        [path],
      );
      return;
    }
    if (result === 'a problem') {
      assert.deepEqual(
        merge.problems.map(problem => problem.path),
        [path],
      );
      return;
    }
    assert.ok(merge.merged);
    const ids = new Set(listIds(base, merge.merged));
    for (const id of [
      ...listIds(base, this.mine),
      ...listIds(base, this.theirs),
    ]) {
      assert.ok(ids.delete(id) || listIds(base, this.mine).includes(id), id);
    }
    assert.equal(ids.size, 0);
  },
);

Then(
  '{int} random documents with customers are equal after conversion to entries by answer id and back, seed {int}',
  function (runs: number, seed: number) {
    const name = fc.string({minLength: 1, maxLength: 12});
    const arbitraries = {
      name,
      keyHashes: fc.constant([]),
      services: fc.array(name, {maxLength: 3}),
      atMostAtOnce: fc.integer({min: 1, max: 100_000}),
    };
    const customer = fc.record(arbitraries, {noNullPrototype: true});
    const customers = fc.uniqueArray(customer, {
      selector: item => item.name,
      maxLength: 20,
    });
    fc.assert(
      fc.property(name, customers, (deployment, list) => {
        const answers: Answers = {
          deployment,
          engines: [],
          plainServices: [],
          customers: list,
        };
        const converted = makeAnswers(listEntries(answers));
        assert.deepEqual(sortByName(converted.customers), sortByName(list));
        assert.equal(converted.deployment, deployment);
      }),
      {seed, numRuns: runs},
    );
  },
);

function listIds(before: Answers, after: Answers): string[] {
  return listChanges(before, after).map(change => change.id);
}

function sortByName(list: readonly CustomerAnswers[]): CustomerAnswers[] {
  return [...list].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function applyNamedChange(answers: Answers, change: string): Answers {
  const limit = /^limit of (.) to (\d+)$/.exec(change);
  if (limit !== null) {
    const name = limit[1] === 'a' ? NAME_A : NAME_B;
    const atMostAtOnce = Number(limit[2]);
    const customers = answers.customers.map(customer =>
      customer.name === name ? {...customer, atMostAtOnce} : customer,
    );
    return {...answers, customers};
  }
  switch (change) {
    case 'removal of a':
      return {
        ...answers,
        customers: answers.customers.filter(c => c.name !== NAME_A),
      };
    case 'a new engine x':
    case 'a new engine y':
      return updateServers(answers, servers => [
        ...servers,
        {
          ...servers[0]!,
          id: change,
          host: `10.10.9.${change.length}${change.at(-1)}`,
        },
      ]);
    case 'removal of engine-3':
      return updateServers(answers, servers =>
        servers.filter(server => server.id !== 'engine-3'),
      );
    case 'removal of booking':
      return {
        ...answers,
        plainServices: [],
        customers: answers.customers.map(customer => ({
          ...customer,
          services: customer.services.filter(name => name !== 'booking'),
        })),
      };
    case 'a new customer of booking': {
      const customer = {
        ...answers.customers[0]!,
        name: 'z',
        services: ['booking'],
      };
      return {...answers, customers: [...answers.customers, customer]};
    }
    default:
      return answers;
  }
}

function updateServers(
  answers: Answers,
  update: (servers: readonly BackendServer[]) => BackendServer[],
): Answers {
  const [engine] = answers.engines;
  assert.ok(engine);
  return {
    ...answers,
    engines: [{...engine, servers: update(engine.servers)}],
  };
}
