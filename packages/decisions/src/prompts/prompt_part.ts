/** One part of a prompt; equal ids are equal tokens with equal parts before. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}
