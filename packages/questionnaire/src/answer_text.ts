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

const SUBJECT_KINDS: Readonly<Record<string, string>> = {
  [AnswerGroup.ENGINES]: 'model service',
  [AnswerGroup.PLAIN_SERVICES]: 'plain service',
  [AnswerGroup.CUSTOMERS]: 'customer',
};
const GROUP_QUESTIONS: Readonly<Record<string, readonly Question[]>> = {
  [AnswerGroup.ENGINES]: [...ENGINE_QUESTIONS, ...WEIGHT_QUESTIONS],
  [AnswerGroup.PLAIN_SERVICES]: PLAIN_QUESTIONS,
  [AnswerGroup.CUSTOMERS]: CUSTOMER_QUESTIONS,
};

/** The components of an answer's id. */
export interface ParsedAnswerId {
  /** What the answer is about, for example `customer parroquia-san-jose`. */
  readonly subject: string;
  /** Undefined if the id belongs to no question. */
  readonly question: Question | undefined;
  /** A server's id or an item's name; undefined if the id names no item. */
  readonly item: string | undefined;
}

/** Parses an answer's id and finds the question that the id belongs to. */
export function parseAnswerId(id: string): ParsedAnswerId {
  const [group = '', name, field, item] = id.split('/').map(decodeURIComponent);
  if (name === undefined) {
    const question = DEPLOYMENT_QUESTIONS.find(q => q.field === group);
    return {subject: 'deployment', question, item: undefined};
  }
  const questions = GROUP_QUESTIONS[group] ?? [];
  return {
    subject: `${SUBJECT_KINDS[group] ?? group} ${name}`,
    question: questions.find(question => question.field === field),
    item,
  };
}

/** Formats the answer with an id as an operator would write it. */
export function formatAnswerAt(id: string, answer: unknown): string {
  if (answer === undefined) return '(not answered)';
  const {question, item} = parseAnswerId(id);
  if (item !== undefined) return formatItem(answer);
  if (question !== undefined) return formatAnswer(question, answer);
  return String(answer);
}

/** Formats a change as lines: the question, then the old and new answer. */
export function formatChange(change: AnswerChange): string[] {
  const {id, before, after} = change;
  const {subject, question, item} = parseAnswerId(id);
  const heading = item === undefined ? subject : `${subject}, ${item}`;
  if (question === undefined && item === undefined) {
    return [`${heading}: ${before === undefined ? 'added' : 'removed'}`];
  }
  const questionText = question === undefined ? '' : ` ${question.text}`;
  if (before === undefined) {
    return [`${heading}:${questionText}`, `  ${formatAnswerAt(id, after)}`];
  }
  return [
    `${heading}:${questionText}`,
    `  ${formatAnswerAt(id, before)}  ->  ${formatAnswerAt(id, after)}`,
  ];
}

function formatItem(answer: unknown): string {
  const server = answer as Partial<BackendServer>;
  if (server.port !== undefined) return formatServer(server as BackendServer);
  return JSON.stringify(answer);
}
