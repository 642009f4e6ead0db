import {PlacementPreference, PriorityClass} from '@greengagecross/common';
import type {AnswerChange} from './answer_change.js';
import {AnswerGroup} from './answer_entries.js';
import {findAnswerPlace} from './answer_text.js';
import type {Answers} from './answers.js';
import {describeMoves} from './describe_moves.js';

const WAITING: Readonly<Record<string, string>> = {
  [PriorityClass.INTERACTIVE]: 'go before all others under load',
  [PriorityClass.CONSULTATION]:
    'go after short answers and before background work under load',
  [PriorityClass.BACKGROUND]: 'go last under load',
};

/** Describes what changes do to chats, loads and refusals, in sentences. */
export function describeEffects(
  changes: readonly AnswerChange[],
  before: Answers | undefined,
  after: Answers,
): string[] {
  if (before === undefined) {
    return ['The fleet starts to serve these services.'];
  }
  const whole = changes.filter(({id}) => id.split('/').length === 2);
  const subjects = new Set(whole.map(({id}) => id));
  const fields = changes.filter(({id}) => !subjects.has(findSubject(id)));
  const effects = [
    ...describeMoves(before, after),
    ...whole.map(change => describeSubject(change, after)),
    ...fields.flatMap(change => describeField(change) ?? []),
  ];
  if (effects.length > 0) return [...new Set(effects)];
  return ['No chat moves and nothing more is refused.'];
}

function findSubject(id: string): string {
  return id.split('/').slice(0, 2).join('/');
}

/** Describes a service or customer that comes or goes. */
function describeSubject(change: AnswerChange, after: Answers): string {
  const {id} = change;
  const {subject} = findAnswerPlace(id);
  const [group, name = ''] = id.split('/').map(decodeURIComponent);
  const isAdded = change.after !== undefined;
  if (group !== AnswerGroup.CUSTOMERS) {
    return isAdded
      ? `Requests for ${subject} are taken from the customers that may use it.`
      : `Requests for ${subject} are refused; what runs now finishes.`;
  }
  if (!isAdded) return `Every request of ${subject} is refused.`;
  const customer = after.customers.find(found => found.name === name);
  const services = customer?.services.join(', ') ?? '';
  return `Requests of ${subject} for ${services} are taken, at most ${customer?.atMostAtOnce ?? 0} at once.`;
}

function describeField(change: AnswerChange): string | undefined {
  const {id, before, after} = change;
  const {subject, question, item} = findAnswerPlace(id);
  if (item !== undefined) return undefined;
  switch (question?.field) {
    case 'mattersMore':
      return after === PlacementPreference.REUSE
        ? `Chats of ${subject} stay on warm engines until one is at 1.5 times the mean load; fewer move.`
        : `No engine of ${subject} goes above 1.25 times the mean load; more chats move.`;
    case 'whoWaits':
      return `Requests of ${subject} ${WAITING[String(after)] ?? ''}.`;
    case 'longestWaitSeconds':
      return `Requests of ${subject} are ended after ${String(after)} s, not ${String(before)} s.`;
    case 'checksOrders':
      return after === true
        ? `Orders to engines of ${subject} rely on the engines to refuse old ones.`
        : `Orders to engines of ${subject} wait until none of an earlier holder can be on its way.`;
    case 'modelVersion':
      return after === undefined
        ? `Engines of ${subject} get no more orders and stay as they are.`
        : `Engines of ${subject} finish their work, load ${String(after)} and take work again, a few at a time; their warm chats are read again.`;
    case 'adapters':
    case 'role':
      return `Engines of ${subject} are given other adapters or another role, a few at a time.`;
    case 'mayNotBeRepeated':
      return describeLists(before, after, {
        gained: list =>
          `Calls of ${subject} below ${list} run at most once; those without an idempotency key are refused.`,
        lost: list =>
          `Calls of ${subject} below ${list} may run more than once.`,
      });
    case 'atMostAtOnce':
      return Number(after) < Number(before)
        ? `Requests of ${subject} above ${String(after)} at once are refused.`
        : `Up to ${String(after)} requests of ${subject} at once are taken; others get less of a full engine.`;
    case 'services':
      return describeLists(before, after, {
        gained: list => `Requests of ${subject} for ${list} are taken.`,
        lost: list => `Requests of ${subject} for ${list} are refused.`,
      });
    case 'keyHashes':
      return `Only the keys answered now are taken from ${subject}; others are refused with 401.`;
    default:
      return undefined;
  }
}

interface ListSentences {
  readonly gained: (list: string) => string;
  readonly lost: (list: string) => string;
}

function describeLists(
  before: unknown,
  after: unknown,
  sentences: ListSentences,
): string | undefined {
  const old = (before ?? []) as readonly string[];
  const now = (after ?? []) as readonly string[];
  const lost = old.filter(name => !now.includes(name));
  const gained = now.filter(name => !old.includes(name));
  const said = [
    ...(gained.length > 0 ? [sentences.gained(gained.join(', '))] : []),
    ...(lost.length > 0 ? [sentences.lost(lost.join(', '))] : []),
  ];
  return said.length > 0 ? said.join(' ') : undefined;
}
