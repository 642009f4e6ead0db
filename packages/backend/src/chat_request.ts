import {Schema} from 'effect';
import {decodeJson, ExcessProperties} from '@greengagecross/common';

/** The parts of a chat-completions request that the system reads. */
export const ChatRequestSchema = Schema.Struct({
  model: Schema.NonEmptyString,
  messages: Schema.Array(Schema.Unknown),
  stream: Schema.optionalKey(Schema.Boolean),
});

/** Decoded form of {@link ChatRequestSchema}. */
export type ChatRequest = typeof ChatRequestSchema.Type;

/**
 * Parses a chat request, leaving the fields that only engines read.
 *
 * @throws ValidationError when the text is no chat request.
 */
export function parseChatRequest(text: string): ChatRequest {
  return decodeJson(
    ChatRequestSchema,
    text,
    'chat request',
    ExcessProperties.IGNORED,
  );
}
