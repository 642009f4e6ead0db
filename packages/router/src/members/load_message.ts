import {Schema} from 'effect';

/** What a load message tells, and to whom. */
export enum LoadMessageKind {
  /** A daemon's own requests in flight, to the collector of its zone. */
  REPORT = 'load-report',
  /** The sum over the sender's zone, to the collectors of other zones. */
  ZONE = 'load-zone',
  /** The sum over all zones, to the daemons of the sender's zone. */
  ALL = 'load-all',
}

/** Requests in flight by backend server; see `LoadSums` of package decisions. */
export const LoadMessageSchema = Schema.Struct({
  kind: Schema.Enum(LoadMessageKind),
  id: Schema.NonEmptyString,
  availabilityZone: Schema.String,
  inFlight: Schema.Record(Schema.String, Schema.Number),
});

/** Decoded form of {@link LoadMessageSchema}. */
export type LoadMessage = typeof LoadMessageSchema.Type;
