import type {EarlierEngine, Ticket} from '@greengagecross/common';

/** Finds what a new ticket says of the engine used before the present one. */
export function findEarlierEngine(
  last: Ticket | undefined,
  engine: string,
): EarlierEngine | undefined {
  if (last === undefined) return undefined;
  if (last.engine === engine) return last.earlier;
  return {engine: last.engine, contextTokens: last.contextTokens};
}
