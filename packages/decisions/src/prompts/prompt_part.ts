/**
 * One part of a prompt. Parts with equal ids have the same text and follow the
 * same parts, so that an engine can reuse its cached context of them.
 */
export interface PromptPart {
  readonly id: string;
  /** Number of tokens of the part, as the caller sent it. */
  readonly tokens: number;
}
