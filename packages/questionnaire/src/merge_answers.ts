import {toError, type Problem, ValidationError} from '@greengagecross/common';
import {isSameAnswer} from './answer_change.js';
import {
  listEntries,
  makeAnswers,
  type AnswerEntries,
} from './answer_entries.js';
import {
  addSubjects,
  removeSame,
  type AnswerSubjects,
} from './answer_subjects.js';
import type {Answers} from './answers.js';
import {checkAnswers} from './check_answers.js';

const NO_ENTRIES: AnswerEntries = new Map();

/** One answer that both sides changed, each to something else. */
export interface AnswerConflict {
  readonly id: string;
  readonly base: unknown;
  readonly mine: unknown;
  readonly theirs: unknown;
}

/** The merged answers, or why there are none. */
export interface MergeResult {
  readonly merged: Answers | undefined;
  readonly conflicts: readonly AnswerConflict[];
  /** Problems of answers that are right on each side but not together. */
  readonly problems: readonly Problem[];
}

/**
 * Merges two changes of the same base, answer by answer; no base is empty.
 *
 * @param chosen answers of conflicts that were asked again; undefined to have none.
 */
export function mergeAnswers(
  base: Answers | undefined,
  mine: Answers,
  theirs: Answers,
  chosen: AnswerEntries = NO_ENTRIES,
): MergeResult {
  const {same, rest} = removeSame(
    base === undefined ? [theirs, mine] : [theirs, mine, base],
  );
  const [others = NO_ENTRIES, ours = NO_ENTRIES, from = NO_ENTRIES] =
    rest.map(listEntries);
  const merged = new Map(others);
  const conflicts: AnswerConflict[] = [];
  const ids = new Set([...from.keys(), ...ours.keys(), ...others.keys()]);
  for (const id of ids) {
    const sides = {
      base: from.get(id),
      mine: ours.get(id),
      theirs: others.get(id),
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
    applyChosen(merged, id, value, [ours, others]);
  }
  return checkMerged(same, merged);
}

/** Sets a chosen answer; what it belongs to may have been removed by a side. */
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
  const subject = id.split('/').slice(0, 2).join('/');
  const having = sides.find(side => side.has(subject));
  const isGone = !merged.has(subject);
  for (const [key, held] of isGone && having !== undefined ? having : []) {
    if (key === subject || key.startsWith(`${subject}/`)) merged.set(key, held);
  }
  merged.set(id, value);
}

function checkMerged(
  same: AnswerSubjects,
  entries: AnswerEntries,
): MergeResult {
  try {
    const merged = addSubjects(same, makeAnswers(entries));
    const problems = checkAnswers(merged);
    const isRight = problems.length === 0;
    return {merged: isRight ? merged : undefined, conflicts: [], problems};
  } catch (thrown) {
    const error = toError(thrown);
    if (!(error instanceof ValidationError)) throw error;
    return {merged: undefined, conflicts: [], problems: error.problems};
  }
}
