import type {Effect} from 'effect';
import type {PlatformError} from './platform_error.js';

/** The platform's store of binary objects by key. */
export abstract class ObjectStore {
  /** Writes a complete object, replacing any object under the same key. */
  abstract put(key: string, body: Buffer): Effect.Effect<void, PlatformError>;

  /** Reads a complete object; undefined if there is none under the key. */
  abstract get(key: string): Effect.Effect<Buffer | undefined, PlatformError>;

  /**
   * Lists keys in ascending order.
   *
   * @param prefix prefix that every listed key has.
   * @param after lower bound of the keys, exclusive; '' lists from the start.
   * @param limit maximum number of keys.
   */
  abstract list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly string[], PlatformError>;

  /** Removes an object; succeeds if the object is absent. */
  abstract remove(key: string): Effect.Effect<void, PlatformError>;
}
