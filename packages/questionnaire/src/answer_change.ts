import {listEntries, type AnswerEntries} from './answer_entries.js';
import {removeSame} from './answer_subjects.js';
import type {Answers} from './answers.js';

/** One answer that differs; undefined where it is not answered. */
export interface AnswerChange {
  readonly id: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Lists the answers that differ between two documents, in the order of ids. */
export function listChanges(
  before: Answers | undefined,
  after: Answers,
): AnswerChange[] {
  if (before === undefined) {
    return compareEntries(new Map(), listEntries(after));
  }
  const [old = before, now = after] = removeSame([before, after]).rest;
  return compareEntries(listEntries(old), listEntries(now));
}

/** Compares two sets of answers, in the order of ids. */
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

/** Tells whether two answers say the same. */
export function isSameAnswer(a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}
