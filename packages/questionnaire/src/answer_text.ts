import type {BackendServer} from '@greengagecross/common';
import type {AnswerChange} from './answer_change.js';
import {AnswerGroup} from './answer_entries.js';
import {formatAnswer, formatServer} from './parse_answer.js';
import type {Question} from './question.js';
import {
  CUSTOMER_QUESTIONS,
  DEPLOYMENT_QUESTIONS,
  ENGINE_QUESTIONS,
  PLAIN_QUESTIONS,
  WEIGHT_QUESTIONS,
} from './questions.js';

const GROUP_NAMES: Readonly<Record<string, string>> = {
  [AnswerGroup.ENGINES]: 'model service',
  [AnswerGroup.PLAIN_SERVICES]: 'plain service',
  [AnswerGroup.CUSTOMERS]: 'customer',
};
const GROUP_QUESTIONS: Readonly<Record<string, readonly Question[]>> = {
  [AnswerGroup.ENGINES]: [...ENGINE_QUESTIONS, ...WEIGHT_QUESTIONS],
  [AnswerGroup.PLAIN_SERVICES]: PLAIN_QUESTIONS,
  [AnswerGroup.CUSTOMERS]: CUSTOMER_QUESTIONS,
};

/** An answer's id taken apart. */
export interface AnswerPlace {
  /** What the answer is about, as in `customer parroquia-san-jose`. */
  readonly subject: string;
  readonly question: Question | undefined;
  /** Name of the item in a list of answers, such as a server's id. */
  readonly item: string | undefined;
}

/** Finds the question that an answer's id belongs to. */
export function findAnswerPlace(id: string): AnswerPlace {
  const [group = '', name, field, item] = id.split('/').map(decodeURIComponent);
  if (name === undefined) {
    const question = DEPLOYMENT_QUESTIONS.find(q => q.field === group);
    return {subject: 'deployment', question, item: undefined};
  }
  const questions = GROUP_QUESTIONS[group] ?? [];
  return {
    subject: `${GROUP_NAMES[group] ?? group} ${name}`,
    question: questions.find(question => question.field === field),
    item,
  };
}

/** Formats an answer in the questionnaire's terms. */
export function formatAnswerAt(id: string, answer: unknown): string {
  if (answer === undefined) return '(not answered)';
  const {question, item} = findAnswerPlace(id);
  if (item !== undefined) return formatItem(answer);
  if (question !== undefined) return formatAnswer(question, answer);
  return String(answer);
}

/** Formats a change as two or more lines: what is asked, before and after. */
export function formatChange(change: AnswerChange): string[] {
  const {id, before, after} = change;
  const {subject, question, item} = findAnswerPlace(id);
  const about = item === undefined ? subject : `${subject}, ${item}`;
  if (question === undefined && item === undefined) {
    return [`${about}: ${before === undefined ? 'added' : 'removed'}`];
  }
  const asked = question === undefined ? '' : ` ${question.text}`;
  if (before === undefined) {
    return [`${about}:${asked}`, `  ${formatAnswerAt(id, after)}`];
  }
  return [
    `${about}:${asked}`,
    `  ${formatAnswerAt(id, before)}  ->  ${formatAnswerAt(id, after)}`,
  ];
}

function formatItem(answer: unknown): string {
  const server = answer as Partial<BackendServer>;
  if (server.port !== undefined) return formatServer(server as BackendServer);
  return JSON.stringify(answer);
}
