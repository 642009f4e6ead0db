import {AnswerGroup} from './answer_entries.js';
import type {Answers} from './answers.js';
import {makeConfiguration} from './generate.js';

/** A generated value with the answer that it comes from. */
export interface ValueOrigin {
  /** Where it stands in the configuration. */
  readonly path: string;
  readonly value: unknown;
  /** Id of the answer; undefined where every deployment gets the same. */
  readonly answerId: string | undefined;
}

const CUSTOMER_FIELDS: Readonly<Record<string, string>> = {
  id: '',
  keyHashes: 'keyHashes',
  services: 'services',
  maxInFlight: 'atMostAtOnce',
};
const SERVICE_FIELDS: Readonly<Record<string, string>> = {
  name: '',
  kind: '',
  backendServers: 'servers',
  deadlineMs: 'longestWaitSeconds',
  priority: 'whoWaits',
};
const ENGINE_FIELDS: Readonly<Record<string, string>> = {
  ...SERVICE_FIELDS,
  placement: 'mattersMore',
  fencing: 'checksOrders',
  weights: 'modelVersion',
};
const PLAIN_FIELDS: Readonly<Record<string, string>> = {
  ...SERVICE_FIELDS,
  nonRepeatablePaths: 'mayNotBeRepeated',
};
/** Fields that each kind of work on the same engines answers for itself. */
const WORK_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'priority',
  'deadlineMs',
]);

/**
 * Finds which answer a value of the configuration comes from.
 *
 * @param path as `services/NAME/deadlineMs` or `customers/NAME/maxInFlight`.
 */
export function findOrigin(
  answers: Answers,
  path: string,
): ValueOrigin | undefined {
  const [group, encoded = '', field = ''] = path.split('/');
  const name = decodeURIComponent(encoded);
  const {services, customers} = makeConfiguration(answers);
  const subject =
    group === 'services'
      ? services.find(service => service.name === name)
      : customers.find(customer => customer.id === name);
  const value = (subject as Readonly<Record<string, unknown>> | undefined)?.[
    field
  ];
  if (value === undefined) return undefined;
  const answerId =
    group === 'services'
      ? findServiceAnswer(answers, name, field)
      : makeId(AnswerGroup.CUSTOMERS, name, CUSTOMER_FIELDS[field]);
  return {path, value, answerId};
}

function findServiceAnswer(
  answers: Answers,
  name: string,
  field: string,
): string | undefined {
  if (answers.plainServices.some(service => service.name === name)) {
    return makeId(AnswerGroup.PLAIN_SERVICES, name, PLAIN_FIELDS[field]);
  }
  const engine = answers.engines.find(
    ({name: own, otherWork}) =>
      own === name || otherWork?.some(work => work.name === name) === true,
  );
  if (engine === undefined) return undefined;
  const isOther = engine.name !== name && WORK_FIELDS.has(field);
  if (isOther) {
    const item = encodeURIComponent(name);
    return `${makeId(AnswerGroup.ENGINES, engine.name, 'otherWork')}/${item}`;
  }
  return makeId(AnswerGroup.ENGINES, engine.name, ENGINE_FIELDS[field]);
}

function makeId(
  group: AnswerGroup,
  name: string,
  field: string | undefined,
): string | undefined {
  if (field === undefined) return undefined;
  const subject = `${group}/${encodeURIComponent(name)}`;
  return field === '' ? subject : `${subject}/${field}`;
}
