import {toError, type Problem, ValidationError} from '@greengagecross/common';
import {isSameAnswer} from './answer_change.js';
import {
  listEntries,
  makeAnswers,
  type AnswerEntries,
} from './answer_entries.js';
import {
  addSubjects,
  removeCommonSubjects,
  type AnswerSubjects,
} from './answer_subjects.js';
import type {Answers} from './answers.js';
import {checkAnswers} from './check_answers.js';

const NO_ENTRIES: AnswerEntries = new Map();

/**
 * One answer that both the request and the answers in force changed since their
 * base, to different values.
 *
 * A value is undefined if the answer is absent in that document.
 */
export interface AnswerConflict {
  readonly id: string;
  readonly base: unknown;
  readonly mine: unknown;
  readonly theirs: unknown;
}

/** The merged answers, or the reasons why they cannot be merged. */
export interface MergeResult {
  /** Undefined if there are conflicts or problems. */
  readonly merged: Answers | undefined;
  readonly conflicts: readonly AnswerConflict[];
  /**
   * Problems of answers that are valid in `mine` and in `theirs` but not when
   * merged; empty if there are conflicts.
   */
  readonly problems: readonly Problem[];
}

/**
 * Merges two changes of the same base, answer by answer.
 *
 * @param base answers that both sides started from; undefined for none.
 * @param mine answers of the request.
 * @param theirs answers in force.
 * @param chosen answers chosen for conflicts; undefined removes the answer.
 */
export function mergeAnswers(
  base: Answers | undefined,
  mine: Answers,
  theirs: Answers,
  chosen: AnswerEntries = NO_ENTRIES,
): MergeResult {
  const {common, remaining} = removeCommonSubjects(
    base === undefined ? [theirs, mine] : [theirs, mine, base],
  );
  const [
    theirEntries = NO_ENTRIES,
    myEntries = NO_ENTRIES,
    baseEntries = NO_ENTRIES,
  ] = remaining.map(listEntries);
  const merged = new Map(theirEntries);
  const conflicts: AnswerConflict[] = [];
  const ids = new Set([
    ...baseEntries.keys(),
    ...myEntries.keys(),
    ...theirEntries.keys(),
  ]);
  for (const id of ids) {
    const sides = {
      base: baseEntries.get(id),
      mine: myEntries.get(id),
      theirs: theirEntries.get(id),
    };
    if (isSameAnswer(sides.mine, sides.base)) continue;
    if (isSameAnswer(sides.mine, sides.theirs)) continue;
    if (!isSameAnswer(sides.theirs, sides.base)) {
      if (!chosen.has(id)) conflicts.push({id, ...sides});
      continue;
    }
    if (sides.mine === undefined) merged.delete(id);
    else merged.set(id, sides.mine);
  }
  if (conflicts.length > 0) {
    return {merged: undefined, conflicts, problems: []};
  }
  for (const [id, value] of chosen) {
    applyChosen(merged, id, value, [myEntries, theirEntries]);
  }
  return checkMerged(common, merged);
}

/**
 * Sets a chosen answer. If one side removed the answer's subject, the subject
 * is first restored with all entries of the side that still has it.
 */
function applyChosen(
  merged: Map<string, unknown>,
  id: string,
  value: unknown,
  sides: readonly AnswerEntries[],
): void {
  if (value === undefined) {
    merged.delete(id);
    return;
  }
  const prefix = id.split('/').slice(0, 2).join('/');
  const source = sides.find(side => side.has(prefix));
  const isRemoved = !merged.has(prefix);
  for (const [key, answer] of isRemoved && source !== undefined ? source : []) {
    if (key === prefix || key.startsWith(`${prefix}/`)) merged.set(key, answer);
  }
  merged.set(id, value);
}

function checkMerged(
  common: AnswerSubjects,
  entries: AnswerEntries,
): MergeResult {
  try {
    const merged = addSubjects(common, makeAnswers(entries));
    const problems = checkAnswers(merged);
    const isValid = problems.length === 0;
    return {merged: isValid ? merged : undefined, conflicts: [], problems};
  } catch (thrown) {
    const error = toError(thrown);
    if (!(error instanceof ValidationError)) throw error;
    return {merged: undefined, conflicts: [], problems: error.problems};
  }
}
