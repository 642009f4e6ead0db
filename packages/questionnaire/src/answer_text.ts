import {PlacementPreference, type BackendServer} from '@greengagecross/common';
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

/** Describes in a sentence what a change does; undefined when nothing. */
export function describeEffect(change: AnswerChange): string | undefined {
  const {id, before, after} = change;
  const {subject, question, item} = findAnswerPlace(id);
  if (question?.field === 'servers' && item !== undefined) {
    if (before === undefined) {
      return `${item} takes its share of ${subject}'s new work; about that share of returning chats moves to it.`;
    }
    if (after === undefined) {
      return `${item} gets no new work; its chats go to the other servers, and what it runs now finishes.`;
    }
    return `${item} is reached at its new place; requests it runs now finish.`;
  }
  switch (question?.field) {
    case 'mattersMore':
      return after === PlacementPreference.REUSE
        ? `Chats of ${subject} stay on warm engines until one is at 1.5 times the mean load.`
        : `No engine of ${subject} goes above 1.25 times the mean load; more chats move.`;
    case 'atMostAtOnce':
      return Number(after ?? 0) < Number(before ?? 0)
        ? `Requests of ${subject} above ${String(after ?? 0)} at once are refused.`
        : undefined;
    case 'services':
      return describeLostServices(subject, before, after);
    case 'modelVersion':
      return after === undefined
        ? `Engines of ${subject} get no more orders and stay as they are.`
        : `Engines of ${subject} finish their work, load ${String(after)} and take work again, a few at a time; their warm chats are read again.`;
    case 'adapters':
    case 'role':
      return `Engines of ${subject} are given other adapters or another role, a few at a time.`;
    case 'keyHashes':
      return `Only the keys answered now are taken from ${subject}; others get 401.`;
    default:
      return undefined;
  }
}

function describeLostServices(
  subject: string,
  before: unknown,
  after: unknown,
): string | undefined {
  const kept = new Set((after ?? []) as readonly string[]);
  const old = (before ?? []) as readonly string[];
  const lost = old.filter(name => !kept.has(name));
  if (lost.length === 0) return undefined;
  return `Requests of ${subject} for ${lost.join(', ')} are refused.`;
}

function formatItem(answer: unknown): string {
  const server = answer as Partial<BackendServer>;
  if (server.port !== undefined) return formatServer(server as BackendServer);
  return JSON.stringify(answer);
}
