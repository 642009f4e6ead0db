import {Schema} from 'effect';
import {decodeJson, ExcessProperties} from '@greengagecross/common';

/** The fields of a chat-completions request that daemons read. */
export const ChatRequestSchema = Schema.Struct({
  model: Schema.NonEmptyString,
  messages: Schema.Array(Schema.Unknown),
  stream: Schema.optionalKey(Schema.Boolean),
});

/** Decoded form of {@link ChatRequestSchema}. */
export type ChatRequest = typeof ChatRequestSchema.Type;

/**
 * Parses a chat request; fields that are not in the schema are ignored.
 *
 * @throws ValidationError if the text is not JSON or a field is invalid.
 */
export function parseChatRequest(text: string): ChatRequest {
  return decodeJson(
    ChatRequestSchema,
    text,
    'chat request',
    ExcessProperties.IGNORED,
  );
}
