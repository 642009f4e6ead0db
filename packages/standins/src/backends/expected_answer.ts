import {createHash} from 'node:crypto';

/** Messages and length of a chat request, as the stand-ins read them. */
export interface StandinChatBody {
  readonly messages: readonly {
    readonly role: string;
    readonly content: string;
  }[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly metadata?: {readonly workId?: string};
}

const DEFAULT_TOKENS = 16;
const CHARACTERS_PER_TOKEN = 4;

/**
 * Computes the one right answer to a chat request, token by token, so that a
 * caller can tell an answer that is short, doubled or another's.
 */
export function computeAnswerTokens(body: StandinChatBody): string[] {
  const count = body.max_tokens ?? DEFAULT_TOKENS;
  const seed = createHash('sha256')
    .update(JSON.stringify(body.messages))
    .digest('hex')
    .slice(0, 12);
  return Array.from({length: count}, (unused, index) => `${seed}.${index} `);
}

/** Counts the tokens of a prompt. */
export function countPromptTokens(body: StandinChatBody): number {
  const characters = body.messages.reduce(
    (total, message) => total + message.content.length,
    0,
  );
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}
