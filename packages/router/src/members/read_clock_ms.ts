import {Clock, Effect} from 'effect';

const NANOS_PER_MS = 1_000_000;

/** Reads the monotonic clock of effect, in milliseconds. */
export const readClockMs = Effect.map(
  Clock.monotonicTimeNanos,
  nanos => Number(nanos) / NANOS_PER_MS,
);
