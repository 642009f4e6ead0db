/**
 * One part of a prompt. Parts with equal ids have the same text and follow the
 * same parts, so that an engine can reuse its cached context of them.
 */
export interface PromptPart {
  readonly id: string;
  /** Number of tokens of the part, as the caller sent it. */
  readonly tokens: number;
}

/**
 * Lists the ids of the parts that a prompt may share with others: all but the
 * last, which is unique to the request.
 */
export function listSharedParts(parts: readonly PromptPart[]): string[] {
  return parts.slice(0, -1).map(({id}) => id);
}
