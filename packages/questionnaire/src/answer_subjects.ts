import {
  AnswerGroup,
  listEntries,
  makeAnswers,
  sortAnswers,
} from './answer_entries.js';
import type {Answers} from './answers.js';

/** Subjects of the answers: model services, plain services and customers. */
export type AnswerSubjects = Pick<Answers, AnswerGroup>;

/** Several documents, split into their common subjects and the rest of each. */
export interface SplitAnswers {
  /** Subjects that are equal in all documents; objects of the first one. */
  readonly common: AnswerSubjects;
  /** Each document without the common subjects, in the order given. */
  readonly remaining: readonly Answers[];
}

interface Subject {
  readonly name: string;
}

/**
 * Splits documents into the subjects that are equal in every document and the
 * remaining ones.
 *
 * In a fleet with 30,000 customers a change affects few of them, so that only
 * the remaining subjects have to be compared answer by answer.
 */
export function removeCommonSubjects(
  documents: readonly Answers[],
): SplitAnswers {
  const [first, ...others] = documents;
  const commonByGroup = Object.values(AnswerGroup).map(group => {
    const otherSubjects = others.map(document =>
      makeSubjectMap(document[group]),
    );
    const subjects: readonly Subject[] = first?.[group] ?? [];
    const commonSubjects = subjects.filter(subject =>
      isInAll(subject, otherSubjects),
    );
    return [group, commonSubjects] as const;
  });
  const commonNames = new Map(
    commonByGroup.map(([group, subjects]) => [
      group,
      new Set(subjects.map(s => s.name)),
    ]),
  );
  return {
    common: Object.fromEntries(commonByGroup) as unknown as AnswerSubjects,
    remaining: documents.map(document =>
      keepSubjects(
        document,
        (group, name) => commonNames.get(group)?.has(name) !== true,
      ),
    ),
  };
}

/** Adds subjects to a document that lacks them; lists are sorted by name. */
export function addSubjects(
  subjects: AnswerSubjects,
  document: Answers,
): Answers {
  return sortAnswers({
    deployment: document.deployment,
    engines: [...subjects.engines, ...document.engines],
    plainServices: [...subjects.plainServices, ...document.plainServices],
    customers: [...subjects.customers, ...document.customers],
  });
}

/**
 * Returns equal answers that reuse the objects of unchanged subjects of earlier
 * answers. `makeConfiguration` caches each customer by that object.
 */
export function keepUnchangedSubjects(
  earlier: Answers | undefined,
  answers: Answers,
): Answers {
  if (earlier === undefined) return sortAnswers(answers);
  const {common, remaining} = removeCommonSubjects([earlier, answers]);
  return addSubjects(common, remaining[1] ?? answers);
}

/**
 * Applies a change to the entries of the one subject that an id belongs to.
 *
 * For an id without a subject, such as `deployment`, the change gets the
 * entries of the complete document.
 *
 * @throws ValidationError if a required answer is then missing or an answer is
 *     invalid.
 */
export function updateSubject(
  answers: Answers,
  id: string,
  change: (entries: Map<string, unknown>) => void,
): Answers {
  const [group, encodedName] = id.split('/');
  const wantedName =
    encodedName === undefined ? undefined : decodeURIComponent(encodedName);
  // Without a name in the id, every subject is included.
  const isWanted = (candidateGroup: AnswerGroup, name: string): boolean =>
    wantedName === undefined ||
    (candidateGroup === group && name === wantedName);
  const wanted = keepSubjects(answers, isWanted);
  const others = keepSubjects(
    answers,
    (candidateGroup, name) => !isWanted(candidateGroup, name),
  );
  const entries = listEntries(wanted);
  change(entries);
  return addSubjects(others, makeAnswers(entries));
}

function keepSubjects(
  answers: Answers,
  isIncluded: (group: AnswerGroup, name: string) => boolean,
): Answers {
  const {deployment, engines, plainServices, customers} = answers;
  return {
    deployment,
    engines: engines.filter(s => isIncluded(AnswerGroup.ENGINES, s.name)),
    plainServices: plainServices.filter(s =>
      isIncluded(AnswerGroup.PLAIN_SERVICES, s.name),
    ),
    customers: customers.filter(s => isIncluded(AnswerGroup.CUSTOMERS, s.name)),
  };
}

function makeSubjectMap(
  subjects: readonly Subject[],
): ReadonlyMap<string, Subject> {
  return new Map(subjects.map(subject => [subject.name, subject]));
}

function isInAll(
  subject: Subject,
  subjectMaps: readonly ReadonlyMap<string, Subject>[],
): boolean {
  let encoded: string | undefined;
  return subjectMaps.every(subjects => {
    const other = subjects.get(subject.name);
    if (other === subject) return true;
    if (other === undefined) return false;
    encoded ??= JSON.stringify(subject);
    return JSON.stringify(other) === encoded;
  });
}
