import {
  AnswerGroup,
  listEntries,
  makeAnswers,
  sortAnswers,
} from './answer_entries.js';
import type {Answers} from './answers.js';

/** The services and customers of answers. */
export type AnswerSubjects = Pick<Answers, AnswerGroup>;

/** Documents without the subjects that are the same in all of them. */
export interface SplitAnswers {
  /** Subjects that are the same everywhere, as the first document has them. */
  readonly same: AnswerSubjects;
  readonly rest: readonly Answers[];
}

interface Subject {
  readonly name: string;
}

/**
 * Sets apart the subjects that are the same in every document.
 *
 * Of 30,000 customers a change touches few, and only what is left has to be
 * compared answer by answer.
 */
export function removeSame(documents: readonly Answers[]): SplitAnswers {
  const [first, ...others] = documents;
  const found = Object.values(AnswerGroup).map(group => {
    const held = others.map(document => makeSubjectMap(document[group]));
    const subjects: readonly Subject[] = first?.[group] ?? [];
    const same = subjects.filter(subject => isSameIn(subject, held));
    return [group, same] as const;
  });
  const names = new Map(
    found.map(([group, same]) => [group, new Set(same.map(s => s.name))]),
  );
  return {
    same: Object.fromEntries(found) as unknown as AnswerSubjects,
    rest: documents.map(document =>
      findSubjects(
        document,
        (group, name) => names.get(group)?.has(name) !== true,
      ),
    ),
  };
}

/** Joins subjects with a document of others, in the order of names. */
export function addSubjects(same: AnswerSubjects, rest: Answers): Answers {
  return sortAnswers({
    deployment: rest.deployment,
    engines: [...same.engines, ...rest.engines],
    plainServices: [...same.plainServices, ...rest.plainServices],
    customers: [...same.customers, ...rest.customers],
  });
}

/** Gives the same answers, sharing what is unchanged with earlier ones. */
export function takeSubjects(
  earlier: Answers | undefined,
  answers: Answers,
): Answers {
  if (earlier === undefined) return sortAnswers(answers);
  const {same, rest} = removeSame([earlier, answers]);
  return addSubjects(same, rest[1] ?? answers);
}

/**
 * Changes entries of the one subject that an id belongs to.
 *
 * @throws ValidationError where an answer that must be there is not.
 */
export function updateSubject(
  answers: Answers,
  id: string,
  change: (entries: Map<string, unknown>) => void,
): Answers {
  const [group, encoded] = id.split('/');
  const wanted =
    encoded === undefined ? undefined : decodeURIComponent(encoded);
  const isOwn = (held: AnswerGroup, name: string): boolean =>
    wanted === undefined || (held === group && name === wanted);
  const own = findSubjects(answers, isOwn);
  const others = findSubjects(answers, (held, name) => !isOwn(held, name));
  const entries = listEntries(own);
  change(entries);
  return addSubjects(others, makeAnswers(entries));
}

function findSubjects(
  answers: Answers,
  isKept: (group: AnswerGroup, name: string) => boolean,
): Answers {
  const {deployment, engines, plainServices, customers} = answers;
  return {
    deployment,
    engines: engines.filter(s => isKept(AnswerGroup.ENGINES, s.name)),
    plainServices: plainServices.filter(s =>
      isKept(AnswerGroup.PLAIN_SERVICES, s.name),
    ),
    customers: customers.filter(s => isKept(AnswerGroup.CUSTOMERS, s.name)),
  };
}

function makeSubjectMap(
  subjects: readonly Subject[],
): ReadonlyMap<string, Subject> {
  return new Map(subjects.map(subject => [subject.name, subject]));
}

function isSameIn(
  subject: Subject,
  documents: readonly ReadonlyMap<string, Subject>[],
): boolean {
  let text: string | undefined;
  return documents.every(held => {
    const other = held.get(subject.name);
    if (other === subject) return true;
    if (other === undefined) return false;
    text ??= JSON.stringify(subject);
    return JSON.stringify(other) === text;
  });
}
