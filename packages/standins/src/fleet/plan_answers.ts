import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {dirname, join} from 'node:path';
import {
  hashCustomerKey,
  type BackendServer,
  type PlacementPreference,
} from '@greengagecross/common';
import {
  parseAnswers,
  type Answers,
  type CustomerAnswers,
} from '@greengagecross/questionnaire';

const require = createRequire(import.meta.url);
const FIXTURE_FOLDER = join(
  dirname(require.resolve('@greengagecross/questionnaire')),
  '..',
  'fixtures',
);

/** The deployments that complete answers are kept of. */
export enum Deployment {
  VELO_COMPARTIDO = 'velo_compartido',
  REGISTRY = 'registry',
}

/** What a plan puts in place of a deployment's own addresses and keys. */
export interface AnswerPlaces {
  readonly preference: PlacementPreference | undefined;
  readonly engines: readonly BackendServer[];
  readonly workers: readonly BackendServer[];
  readonly customers: readonly {readonly id: string; readonly key: string}[];
}

/** Finds the file with a deployment's answers. */
export function findFixture(deployment: Deployment): string {
  return join(FIXTURE_FOLDER, `${deployment}.answers.json`);
}

/** Reads a deployment's answers. */
export function readFixture(deployment: Deployment): Answers {
  const file = findFixture(deployment);
  return parseAnswers(readFileSync(file, 'utf8'), file);
}

/** Lists customer names of a deployment, followed by numbered ones. */
export function listCustomerNames(answers: Answers, count: number): string[] {
  return Array.from(
    {length: count},
    (unused, at) => answers.customers[at]?.name ?? `customer-${at + 1}`,
  );
}

/** Makes a deployment's answers with other servers and keys. */
export function makePlannedAnswers(
  fixture: Answers,
  places: AnswerPlaces,
): Answers {
  const {preference, engines, workers, customers} = places;
  return {
    ...fixture,
    engines: fixture.engines.map(engine => ({
      ...engine,
      mattersMore: preference ?? engine.mattersMore,
      servers: engines,
    })),
    plainServices: fixture.plainServices.map(service => ({
      ...service,
      servers: workers,
    })),
    customers: customers.map(({id, key}, at) => ({
      ...getTemplate(fixture, at),
      name: id,
      keyHashes: [hashCustomerKey(key)],
    })),
  };
}

/** Numbered customers beyond the fixture's take its last customer's answers. */
function getTemplate(fixture: Answers, at: number): CustomerAnswers {
  const last = fixture.customers.length - 1;
  const template = fixture.customers[Math.min(at, last)];
  if (template === undefined) throw new Error('a fixture without customers');
  return template;
}
