import {Schema} from 'effect';

/** An engine that answered an earlier turn and may still hold its context. */
export const EarlierEngineSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  /** Size of the context then, in tokens. */
  contextTokens: Schema.Int,
});

/** Decoded form of {@link EarlierEngineSchema}. */
export type EarlierEngine = typeof EarlierEngineSchema.Type;

/** Where a chat's context was last warm; the caller keeps it, signed. */
export const TicketSchema = Schema.Struct({
  customer: Schema.NonEmptyString,
  chat: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  /** Engine whose cache held the context. */
  engine: Schema.NonEmptyString,
  /** Size of the context, in tokens. */
  contextTokens: Schema.Int,
  /** When the answer ended, in milliseconds since the epoch. */
  warmAtMs: Schema.Int,
  /** The last other engine, if the chat has moved. */
  earlier: Schema.optionalKey(EarlierEngineSchema),
});

/** Decoded form of {@link TicketSchema}. */
export type Ticket = typeof TicketSchema.Type;
