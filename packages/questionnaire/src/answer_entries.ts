import {decodeDocument, type BackendServer} from '@greengagecross/common';
import {AnswersSchema, type Answers, type EngineAnswers} from './answers.js';

/** Value of the entry that only states that a subject exists. */
const SUBJECT_MARKER = 'asked';
/** Fields whose list items each have an entry of their own. */
const LISTED_FIELDS: ReadonlySet<string> = new Set(['servers', 'otherWork']);

/**
 * Answers by id, for example `customers/NAME/atMostAtOnce`.
 *
 * Ids are built from names and not from list positions. An id is therefore
 * unaffected by added or removed answers, and two documents can be
 * compared and merged answer by answer.
 */
export type AnswerEntries = ReadonlyMap<string, unknown>;

/**
 * Lists in the answers document.
 *
 * The service or customer that an item of a list describes is the subject of
 * its answers.
 */
export enum AnswerGroup {
  ENGINES = 'engines',
  PLAIN_SERVICES = 'plainServices',
  CUSTOMERS = 'customers',
}

type AnswerRecord = Readonly<Record<string, unknown>>;

/** Lists all answers of a document by id, with one entry for each subject. */
export function listEntries(answers: Answers): Map<string, unknown> {
  const entries = new Map<string, unknown>();
  entries.set('deployment', answers.deployment);
  for (const group of Object.values(AnswerGroup)) {
    for (const subject of answers[group]) {
      addSubject(entries, group, subject as AnswerRecord);
    }
  }
  return entries;
}

/**
 * Makes the document from entries, with lists sorted by name.
 *
 * Answers whose subject has no entry are ignored.
 *
 * @throws ValidationError if a required answer is missing or invalid.
 */
export function makeAnswers(entries: AnswerEntries): Answers {
  const groups = new Map<string, Map<string, Record<string, unknown>>>();
  for (const group of Object.values(AnswerGroup)) groups.set(group, new Map());
  const ids = [...entries.keys()].sort();
  for (const id of ids) {
    const [group = '', name, field, item] = id.split('/');
    const subjects = groups.get(group);
    if (subjects === undefined || name === undefined) continue;
    if (field === undefined) {
      subjects.set(name, makeSubject(group, name));
      continue;
    }
    const subject = subjects.get(name);
    if (subject === undefined) continue;
    const value = entries.get(id);
    if (item === undefined) subject[field] = value;
    else subject[field] = [...((subject[field] as unknown[]) ?? []), value];
  }
  const document = {
    deployment: entries.get('deployment'),
    engines: [...(groups.get(AnswerGroup.ENGINES)?.values() ?? [])],
    plainServices: [
      ...(groups.get(AnswerGroup.PLAIN_SERVICES)?.values() ?? []),
    ],
    customers: [...(groups.get(AnswerGroup.CUSTOMERS)?.values() ?? [])],
  };
  return decodeDocument(AnswersSchema, document, 'the answers');
}

/**
 * Returns the document without `basedOnRevision`, with lists sorted by name and
 * lists of servers by id.
 */
export function sortAnswers(answers: Answers): Answers {
  const {deployment, engines, plainServices, customers} = answers;
  return {
    deployment,
    engines: sortByName(engines.map(sortEngine)),
    plainServices: sortByName(
      plainServices.map(service => ({
        ...service,
        servers: sortServers(service.servers),
      })),
    ),
    customers: sortByName(customers),
  };
}

function sortEngine(engine: EngineAnswers): EngineAnswers {
  const {otherWork} = engine;
  return {
    ...engine,
    servers: sortServers(engine.servers),
    ...(otherWork === undefined ? {} : {otherWork: sortByName(otherWork)}),
  };
}

function sortServers(servers: readonly BackendServer[]): BackendServer[] {
  return [...servers].sort((a, b) => (a.id < b.id ? -1 : 1));
}

function sortByName<T extends {readonly name: string}>(
  items: readonly T[],
): T[] {
  return [...items].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function makeSubject(group: string, name: string): Record<string, unknown> {
  const subject = {name: decodeURIComponent(name)};
  return group === AnswerGroup.CUSTOMERS ? subject : {...subject, servers: []};
}

function addSubject(
  entries: Map<string, unknown>,
  group: AnswerGroup,
  subject: AnswerRecord,
): void {
  const prefix = `${group}/${encodeURIComponent(String(subject['name']))}`;
  entries.set(prefix, SUBJECT_MARKER);
  for (const [field, value] of Object.entries(subject)) {
    if (field === 'name') continue;
    if (!LISTED_FIELDS.has(field)) {
      entries.set(`${prefix}/${field}`, value);
      continue;
    }
    for (const item of value as readonly AnswerRecord[]) {
      const name = encodeURIComponent(String(item['id'] ?? item['name']));
      entries.set(`${prefix}/${field}/${name}`, item);
    }
  }
}
