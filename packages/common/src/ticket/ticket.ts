import {Schema} from 'effect';

/** Engine that answered an earlier turn and may still cache its context. */
export const EarlierEngineSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  /** Size of the context at that turn, in tokens. */
  contextTokens: Schema.Int,
});

/** Decoded form of {@link EarlierEngineSchema}. */
export type EarlierEngine = typeof EarlierEngineSchema.Type;

/**
 * Names the engine on which a chat's context was last warm (cached). The daemon
 * signs the ticket; the caller stores it and returns it with the next turn.
 */
export const TicketSchema = Schema.Struct({
  customer: Schema.NonEmptyString,
  chat: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  /** Engine that cached the context. */
  engine: Schema.NonEmptyString,
  /** Size of the context, in tokens. */
  contextTokens: Schema.Int,
  /** When the answer ended, in milliseconds since the epoch. */
  warmAtMs: Schema.Int,
  /** Engine that the chat used before `engine`; absent if it never moved. */
  earlier: Schema.optionalKey(EarlierEngineSchema),
});

/** Decoded form of {@link TicketSchema}. */
export type Ticket = typeof TicketSchema.Type;
