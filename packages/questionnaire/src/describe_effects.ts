import {PlacementPreference, PriorityClass} from '@greengagecross/common';
import type {AnswerChange} from './answer_change.js';
import {AnswerGroup} from './answer_entries.js';
import {parseAnswerId} from './answer_text.js';
import type {Answers} from './answers.js';
import {describeMoves} from './describe_moves.js';

const PRIORITY_EFFECTS: Readonly<Record<string, string>> = {
  [PriorityClass.INTERACTIVE]: 'go before all others under load',
  [PriorityClass.CONSULTATION]:
    'go after interactive requests and before background work under load',
  [PriorityClass.BACKGROUND]: 'go last under load',
};

/**
 * Describes in sentences how changes affect chats, load and refused requests.
 *
 * @param before answers in force; undefined if there are none.
 */
export function describeEffects(
  changes: readonly AnswerChange[],
  before: Answers | undefined,
  after: Answers,
): string[] {
  if (before === undefined) {
    return ['The fleet starts to serve the services in these answers.'];
  }
  const subjectChanges = changes.filter(({id}) => id.split('/').length === 2);
  const subjectIds = new Set(subjectChanges.map(({id}) => id));
  const fieldChanges = changes.filter(
    ({id}) => !subjectIds.has(getSubjectId(id)),
  );
  const effects = [
    ...describeMoves(before, after),
    ...subjectChanges.map(change => describeSubject(change, after)),
    ...fieldChanges.flatMap(change => describeField(change) ?? []),
  ];
  if (effects.length > 0) return [...new Set(effects)];
  return [
    'No chat moves and no further requests are refused, except for further services on shared engines.',
  ];
}

function getSubjectId(id: string): string {
  return id.split('/').slice(0, 2).join('/');
}

/** Describes the effect of an added or removed service or customer. */
function describeSubject(change: AnswerChange, after: Answers): string {
  const {id} = change;
  const {subject} = parseAnswerId(id);
  const [group, name = ''] = id.split('/').map(decodeURIComponent);
  const isAdded = change.after !== undefined;
  if (group !== AnswerGroup.CUSTOMERS) {
    return isAdded
      ? `Requests for ${subject} are accepted from the customers that may use it.`
      : `Requests for ${subject} are refused; running requests finish.`;
  }
  if (!isAdded) return `Every request of ${subject} is refused.`;
  const customer = after.customers.find(candidate => candidate.name === name);
  const services = customer?.services.join(', ') ?? '';
  return `Requests of ${subject} for ${services} are accepted, at most ${customer?.atMostAtOnce ?? 0} at once.`;
}

function describeField(change: AnswerChange): string | undefined {
  const {id, before, after} = change;
  const {subject, question, item} = parseAnswerId(id);
  // Items, servers and further services, are not described here.
  if (item !== undefined) return undefined;
  switch (question?.field) {
    case 'mattersMore':
      return after === PlacementPreference.REUSE
        ? `Chats of ${subject} stay on their warm engine until its load reaches 1.5 times the mean; fewer chats move.`
        : `No engine of ${subject} goes above 1.25 times the mean load; more chats move.`;
    case 'whoWaits':
      return `Requests of ${subject} ${PRIORITY_EFFECTS[String(after)] ?? ''}.`;
    case 'longestWaitSeconds':
      return `Requests of ${subject} are ended after ${String(after)} s, not ${String(before)} s.`;
    case 'checksOrders':
      return after === true
        ? `A new lease holder sends orders at once, as the engines of ${subject} refuse orders with an old fencing number.`
        : `Orders to engines of ${subject} wait until no order of the previous lease holder can still arrive.`;
    case 'modelVersion':
      return after === undefined
        ? `Engines of ${subject} get no more orders and keep their current weights.`
        : `Engines of ${subject} finish their requests, load ${String(after)} and accept requests again, a few at a time; the contexts of their warm chats are computed again.`;
    case 'adapters':
    case 'role':
      return `Engines of ${subject} change their adapters or role, a few at a time.`;
    case 'mayNotBeRepeated':
      return describeListChange(before, after, {
        added: list =>
          `Calls of ${subject} below ${list} run at most once; those without an idempotency key are refused.`,
        removed: list =>
          `Calls of ${subject} below ${list} may run more than once.`,
      });
    case 'atMostAtOnce':
      return Number(after) < Number(before)
        ? `Requests of ${subject} above ${String(after)} at once are refused.`
        : `Up to ${String(after)} requests of ${subject} at once are accepted; when an engine is full, other customers get a smaller share of it.`;
    case 'services':
      return describeListChange(before, after, {
        added: list => `Requests of ${subject} for ${list} are accepted.`,
        removed: list => `Requests of ${subject} for ${list} are refused.`,
      });
    case 'keyHashes':
      return `Only the keys in the new answers are accepted from ${subject}; other keys are refused with 401.`;
    default:
      return undefined;
  }
}

/** Sentences about the items that were added to or removed from a list. */
interface ListSentences {
  readonly added: (list: string) => string;
  readonly removed: (list: string) => string;
}

function describeListChange(
  before: unknown,
  after: unknown,
  sentences: ListSentences,
): string | undefined {
  const itemsBefore = (before ?? []) as readonly string[];
  const itemsAfter = (after ?? []) as readonly string[];
  const removed = itemsBefore.filter(name => !itemsAfter.includes(name));
  const added = itemsAfter.filter(name => !itemsBefore.includes(name));
  const parts = [
    ...(added.length > 0 ? [sentences.added(added.join(', '))] : []),
    ...(removed.length > 0 ? [sentences.removed(removed.join(', '))] : []),
  ];
  return parts.length > 0 ? parts.join(' ') : undefined;
}
