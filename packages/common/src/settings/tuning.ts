import {Schema} from 'effect';

const DurationMsSchema = Schema.Int.check(
  Schema.isBetween({minimum: 1, maximum: 3_600_000}),
);

/** Optional durations of a daemon, in milliseconds. */
export const TuningSchema = Schema.Struct({
  heartbeatMs: Schema.optionalKey(DurationMsSchema),
  configurationPollMs: Schema.optionalKey(DurationMsSchema),
  hostListPollMs: Schema.optionalKey(DurationMsSchema),
  /** How often an engine's owner asks for its load. */
  loadPollMs: Schema.optionalKey(DurationMsSchema),
  platformTimeoutMs: Schema.optionalKey(DurationMsSchema),
  peerTimeoutMs: Schema.optionalKey(DurationMsSchema),
  backendConnectTimeoutMs: Schema.optionalKey(DurationMsSchema),
  backendSilenceMs: Schema.optionalKey(DurationMsSchema),
  callerSilenceMs: Schema.optionalKey(DurationMsSchema),
  directoryKeepMs: Schema.optionalKey(DurationMsSchema),
  stopGraceMs: Schema.optionalKey(DurationMsSchema),
  /** How long the right to give orders lasts after its last renewal. */
  orderLeaseMs: Schema.optionalKey(DurationMsSchema),
  /** Longest that one order to an engine may take. */
  orderTimeoutMs: Schema.optionalKey(DurationMsSchema),
  /** How often the holder of that right looks for the next step. */
  orderPollMs: Schema.optionalKey(DurationMsSchema),
  /** How long a request that crashed backend servers is remembered. */
  suspectKeepMs: Schema.optionalKey(DurationMsSchema),
});

/** Every duration with its value, in milliseconds. */
export type Tuning = Required<typeof TuningSchema.Type>;

/** What holds where the settings say nothing. */
export const DEFAULT_TUNING: Tuning = {
  heartbeatMs: 1000,
  configurationPollMs: 1000,
  hostListPollMs: 1000,
  loadPollMs: 1000,
  platformTimeoutMs: 1000,
  peerTimeoutMs: 400,
  backendConnectTimeoutMs: 1000,
  backendSilenceMs: 10_000,
  callerSilenceMs: 30_000,
  directoryKeepMs: 5000,
  stopGraceMs: 60_000,
  orderLeaseMs: 9000,
  orderTimeoutMs: 2000,
  orderPollMs: 1000,
  suspectKeepMs: 600_000,
};
