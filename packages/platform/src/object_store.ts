import type {Effect} from 'effect';
import type {PlatformError} from './platform_error.js';

/** The platform's object store. */
export abstract class ObjectStore {
  /** Writes an object whole. */
  abstract put(key: string, body: Buffer): Effect.Effect<void, PlatformError>;

  /** Reads an object whole, or undefined when there is none. */
  abstract get(key: string): Effect.Effect<Buffer | undefined, PlatformError>;

  /** Lists the keys of a prefix after a key, in their order. */
  abstract list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly string[], PlatformError>;

  /** Removes an object; one that is absent counts as removed. */
  abstract remove(key: string): Effect.Effect<void, PlatformError>;
}
