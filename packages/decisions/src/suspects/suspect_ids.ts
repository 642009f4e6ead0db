import {listSharedParts, type PromptPart} from '../prompts/prompt_part.js';
import type {PositionedPart} from './choose_condemned.js';

/** Ids of prompt parts never have a colon, which separates their tokens. */
const REQUEST_PREFIX = 'request:';

/**
 * Makes the id of a whole request, by which all daemons know it when it comes
 * again.
 *
 * @param fingerprint hash of the request, equal for a request that is sent again
 */
export function makeRequestSuspectId(fingerprint: string): string {
  return `${REQUEST_PREFIX}${fingerprint}`;
}

/** Returns whether a suspect's id is that of a whole request. */
export function isRequestSuspectId(id: string): boolean {
  return id.startsWith(REQUEST_PREFIX);
}

/**
 * Lists what a crash under a request may be attributed to, with positions: the
 * shared parts of its prompt in order, then the request itself, which is the
 * most specific.
 */
export function listSuspects(
  prompt: readonly PromptPart[],
  fingerprint: string,
): PositionedPart[] {
  const ids = [...listSharedParts(prompt), makeRequestSuspectId(fingerprint)];
  return ids.map((id, position) => ({id, position}));
}
