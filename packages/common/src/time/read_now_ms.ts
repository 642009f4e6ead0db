import {Clock, Effect} from 'effect';

/**
 * Reads effect's clock where no fiber runs, as in a callback.
 *
 * @return milliseconds since the epoch
 */
export function readNowMs(): number {
  return Effect.runSync(Clock.currentTimeMillis);
}
