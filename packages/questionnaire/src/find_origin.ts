import {AnswerGroup} from './answer_entries.js';
import type {Answers} from './answers.js';
import {makeConfiguration} from './generate_configuration.js';

/** A value of the configuration and the answer that it was generated from. */
export interface ValueOrigin {
  /** Path of the value in the configuration. */
  readonly path: string;
  readonly value: unknown;
  /** Undefined if no answer decides the value: all deployments get the same. */
  readonly answerId: string | undefined;
}

// Field of the answers for each field of the configuration. The empty text means
// that the id is the one of the service or customer, because its name or the
// list that it is in decides the value.
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
  // The weights come from five answers; this names the one that enables them.
  weights: 'modelVersion',
};
const PLAIN_FIELDS: Readonly<Record<string, string>> = {
  ...SERVICE_FIELDS,
  nonRepeatablePaths: 'mayNotBeRepeated',
};
/** Configuration fields that each service on shared engines answers itself. */
const WORK_FIELDS: ReadonlySet<string> = new Set([
  'name',
  'priority',
  'deadlineMs',
]);

/**
 * Finds a value of the configuration and the answer that it comes from.
 *
 * @param path for example `services/NAME/deadlineMs` or
 *     `customers/NAME/maxInFlight`; NAME is URI-encoded.
 * @returns undefined if there is no value at the path. The first segment of the
 *     path selects services if it is `services`, else customers.
 */
export function findOrigin(
  answers: Answers,
  path: string,
): ValueOrigin | undefined {
  const [group, encodedName = '', field = ''] = path.split('/');
  const name = decodeURIComponent(encodedName);
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
      ? findServiceAnswerId(answers, name, field)
      : makeId(AnswerGroup.CUSTOMERS, name, CUSTOMER_FIELDS[field]);
  return {path, value, answerId};
}

function findServiceAnswerId(
  answers: Answers,
  name: string,
  field: string,
): string | undefined {
  if (answers.plainServices.some(service => service.name === name)) {
    return makeId(AnswerGroup.PLAIN_SERVICES, name, PLAIN_FIELDS[field]);
  }
  const engine = answers.engines.find(
    ({name: mainName, otherWork}) =>
      mainName === name || otherWork?.some(work => work.name === name) === true,
  );
  if (engine === undefined) return undefined;
  const isOtherWork = engine.name !== name && WORK_FIELDS.has(field);
  if (isOtherWork) {
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
