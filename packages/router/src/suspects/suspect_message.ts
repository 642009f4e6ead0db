import {Schema} from 'effect';
import {CrashReportSchema} from '@greengagecross/peers';

/** Kind of the datagram, by which the receiver tells it from others. */
export const SUSPECT_MESSAGE_KIND = 'crash-suspects';

/** Changed reports, sent to all daemons at once; heartbeats repeat them. */
export const SuspectMessageSchema = Schema.Struct({
  kind: Schema.Literal(SUSPECT_MESSAGE_KIND),
  reports: Schema.Array(CrashReportSchema),
});

/** Decoded form of {@link SuspectMessageSchema}. */
export type SuspectMessage = typeof SuspectMessageSchema.Type;
