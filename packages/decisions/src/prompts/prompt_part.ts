/**
 * One part of a prompt. Parts with equal ids have equal tokens and are preceded
 * by equal parts, so that an engine can reuse its cached context of them.
 */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
