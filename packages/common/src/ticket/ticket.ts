import {Schema} from 'effect';

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
});

/** Decoded form of {@link TicketSchema}. */
export type Ticket = typeof TicketSchema.Type;
