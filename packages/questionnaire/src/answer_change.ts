import {listEntries, type AnswerEntries} from './answer_entries.js';
import {removeCommonSubjects} from './answer_subjects.js';
import type {Answers} from './answers.js';

/** One answer that differs between two documents. */
export interface AnswerChange {
  readonly id: string;
  /** Undefined if the earlier document lacks the answer. */
  readonly before: unknown;
  /** Undefined if the later document lacks the answer. */
  readonly after: unknown;
}

/**
 * Lists the answers that differ between two documents, sorted by id.
 *
 * If `before` is undefined, every answer of `after` is listed as added.
 */
export function listChanges(
  before: Answers | undefined,
  after: Answers,
): AnswerChange[] {
  if (before === undefined) {
    return compareEntries(new Map(), listEntries(after));
  }
  const [remainingBefore = before, remainingAfter = after] =
    removeCommonSubjects([before, after]).remaining;
  return compareEntries(
    listEntries(remainingBefore),
    listEntries(remainingAfter),
  );
}

/** Lists the answers that differ between two maps of entries, sorted by id. */
export function compareEntries(
  before: AnswerEntries,
  after: AnswerEntries,
): AnswerChange[] {
  const ids = new Set([...before.keys(), ...after.keys()]);
  return [...ids]
    .filter(id => !isSameAnswer(before.get(id), after.get(id)))
    .sort()
    .map(id => ({id, before: before.get(id), after: after.get(id)}));
}

/** Returns whether two answers are equal by their JSON encoding. */
export function isSameAnswer(a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}
