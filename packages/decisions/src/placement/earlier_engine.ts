import type {EarlierEngine, Ticket} from '@greengagecross/common';

/**
 * Finds the engine that a chat used before the current one, for its new
 * ticket; undefined if there was none.
 */
export function findEarlierEngine(
  last: Ticket | undefined,
  engine: string,
): EarlierEngine | undefined {
  if (last === undefined) return undefined;
  if (last.engine === engine) return last.earlier;
  return {engine: last.engine, contextTokens: last.contextTokens};
}
