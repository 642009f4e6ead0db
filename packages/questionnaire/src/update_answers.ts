import {toError, ValidationError} from '@greengagecross/common';
import {AnswerGroup, listEntries} from './answer_entries.js';
import {updateSubject} from './answer_subjects.js';
import {parseAnswerId} from './answer_text.js';
import type {Answers} from './answers.js';
import {checkAnswers} from './check_answers.js';
import {parseAnswer, parseServer} from './parse_answer.js';

/**
 * Replaces the answer with an id by one that an operator entered, or adds it.
 *
 * @param text the answer; for the id of a server it is `HOST:PORT ZONE`.
 * @throws ValidationError if there is no such question or the answer is
 *     invalid.
 */
export function updateAnswer(
  answers: Answers,
  id: string,
  text: string,
): Answers {
  const answer = parseAnswerAt(id, text);
  const [group, name] = id.split('/');
  const subjectId = `${group}/${name}`;
  const changed = updateSubject(answers, id, entries => {
    entries.set(id, answer);
    if (name !== undefined && !entries.has(subjectId)) {
      entries.set(subjectId, 'asked');
    }
  });
  return checkAllAnswers(changed);
}

/**
 * Removes the answer with an id and all answers below the id, for example below
 * `customers/NAME`.
 *
 * @throws ValidationError if there is no such answer or the remaining answers
 *     are invalid.
 */
export function removeAnswer(answers: Answers, id: string): Answers {
  const changed = updateSubject(answers, id, entries => {
    const ids = [...entries.keys()].filter(
      key => key === id || key.startsWith(`${id}/`),
    );
    if (ids.length === 0) throw makeError(id, 'the id of an answer', 'none');
    for (const key of ids) entries.delete(key);
  });
  return checkAllAnswers(changed);
}

/**
 * Sets one answer by its id without checking it against other answers;
 * undefined removes the answer.
 *
 * @throws ValidationError if a required answer is then missing or an answer is
 *     invalid.
 */
export function setAnswer(
  answers: Answers,
  id: string,
  answer: unknown,
): Answers {
  return updateSubject(answers, id, entries => {
    if (answer === undefined) entries.delete(id);
    else entries.set(id, answer);
  });
}

/** Returns one answer by its id; undefined if there is none. */
export function getAnswer(answers: Answers, id: string): unknown {
  return listEntries(answers).get(id);
}

/**
 * Parses the text of an answer, by the question that the id belongs to.
 *
 * @throws ValidationError if there is no such question or the answer is
 *     invalid.
 */
export function parseAnswerAt(id: string, text: string): unknown {
  const {question, item} = parseAnswerId(id);
  const [group] = id.split('/');
  const isKnownGroup =
    group === 'deployment' ||
    Object.values<string | undefined>(AnswerGroup).includes(group);
  if (!isKnownGroup || question === undefined) {
    throw makeError(id, 'the id of a question', 'none');
  }
  try {
    if (item !== undefined) return parseServer(`${item} ${text}`);
    return parseAnswer(question, text);
  } catch (thrown) {
    throw makeError(id, toError(thrown).message, text);
  }
}

function checkAllAnswers(answers: Answers): Answers {
  const problems = checkAnswers(answers);
  if (problems.length > 0) throw new ValidationError('the answers', problems);
  return answers;
}

function makeError(
  path: string,
  expected: string,
  found: string,
): ValidationError {
  return new ValidationError('the answers', [{path, expected, found}]);
}
