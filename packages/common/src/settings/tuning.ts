import {Schema} from 'effect';

const DurationMsSchema = Schema.Int.check(
  Schema.isBetween({minimum: 1, maximum: 3_600_000}),
);

/** Optional durations of a daemon, in milliseconds. */
export const TuningSchema = Schema.Struct({
  /** Interval between the heartbeats that a daemon sends. */
  heartbeatMs: Schema.optionalKey(DurationMsSchema),
  configurationPollMs: Schema.optionalKey(DurationMsSchema),
  hostListPollMs: Schema.optionalKey(DurationMsSchema),
  /** Interval at which the owner of an engine requests the engine's load. */
  loadPollMs: Schema.optionalKey(DurationMsSchema),
  platformTimeoutMs: Schema.optionalKey(DurationMsSchema),
  peerTimeoutMs: Schema.optionalKey(DurationMsSchema),
  backendConnectTimeoutMs: Schema.optionalKey(DurationMsSchema),
  /** Longest time without a byte from a backend server. */
  backendSilenceMs: Schema.optionalKey(DurationMsSchema),
  /**
   * Longest time for a caller to send a complete request, and to read nothing
   * of its answer.
   */
  callerSilenceMs: Schema.optionalKey(DurationMsSchema),
  /** How long callers may cache a directory answer. */
  directoryKeepMs: Schema.optionalKey(DurationMsSchema),
  /**
   * Time for the requests in flight to end once a stop was requested; a longer
   * `deadlineMs` of a service takes precedence.
   */
  stopGraceMs: Schema.optionalKey(DurationMsSchema),
  /**
   * Time without a renewal after which another daemon may acquire the order
   * lease. The holder of the lease sends the orders to engines.
   */
  orderLeaseMs: Schema.optionalKey(DurationMsSchema),
  /** Timeout of one order to an engine. */
  orderTimeoutMs: Schema.optionalKey(DurationMsSchema),
  /** Interval at which the holder of the order lease checks for the next step. */
  orderPollMs: Schema.optionalKey(DurationMsSchema),
  /**
   * How long the record of a request that was in flight at a crash of a backend
   * server is kept.
   */
  suspectKeepMs: Schema.optionalKey(DurationMsSchema),
});

/** Values of all durations, in milliseconds. */
export type Tuning = Required<typeof TuningSchema.Type>;

/** Defaults of the durations that the settings omit, in milliseconds. */
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
