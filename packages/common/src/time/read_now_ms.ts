import {Clock, Effect} from 'effect';

/**
 * Reads effect's clock outside of a fiber, such as in a callback.
 *
 * @return milliseconds since the epoch
 */
export function readNowMs(): number {
  return Effect.runSync(Clock.currentTimeMillis);
}
