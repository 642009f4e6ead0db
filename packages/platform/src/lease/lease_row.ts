import {Schema} from 'effect';

/** The value of a lease's row in the table service. */
export const LeaseValueSchema = Schema.Struct({
  /** Id of the holder; empty after the lease was released. */
  holder: Schema.String,
  /** Unique id of the write, by which the writer recognizes its own write. */
  token: Schema.NonEmptyString,
  /**
   * Increases by one with each acquisition, from 1.
   *
   * An order carries this number, so that an engine can refuse the orders of an
   * earlier holder.
   */
  fencingNumber: Schema.Int,
});

/** Decoded form of {@link LeaseValueSchema}. */
export type LeaseValue = typeof LeaseValueSchema.Type;

/** The current lease with the version of its row. */
export interface CurrentLease {
  /** Decoded value of the row. */
  readonly row: LeaseValue;
  readonly version: number;
}
