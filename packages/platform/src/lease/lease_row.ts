import {Schema} from 'effect';

/** The row of one lease. */
export const LeaseRowSchema = Schema.Struct({
  /** Who holds it; empty when it was released. */
  holder: Schema.String,
  /** Id of the write, by which its writer knows it again. */
  token: Schema.NonEmptyString,
  /** Rises with each new holder; at least 1. */
  fencingNumber: Schema.Int,
});

/** Decoded form of {@link LeaseRowSchema}. */
export type LeaseRow = typeof LeaseRowSchema.Type;

/** A lease as it stands, with the version of its row. */
export interface StandingLease {
  readonly row: LeaseRow;
  readonly version: number;
}
