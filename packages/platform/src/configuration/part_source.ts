import {Effect} from 'effect';
import type {PlatformError} from '../platform_error.js';
import {ConfigurationError} from './configuration_error.js';
import {computeDigest} from './digest.js';

/** Errors of reading, accepting or removing configurations in the store. */
export type ReadError = PlatformError | ConfigurationError;

/** Bodies of parts by digest. */
export type PartBodies = ReadonlyMap<string, string>;

/** Source of parts: the object store, a peer or memory. */
export abstract class PartSource {
  /** Fetches parts; absent parts are left out, digests are not verified. */
  abstract fetch(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, ReadError>;

  /**
   * Fetches parts and verifies their digests.
   *
   * Fails with a ConfigurationError if a part is missing or does not match its
   * digest.
   */
  fetchChecked(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, ReadError> {
    return Effect.flatMap(this.fetch(digests), bodies => {
      for (const digest of digests) {
        const body = bodies.get(digest);
        const short = digest.slice(0, 12);
        if (body === undefined) {
          return Effect.fail(
            new ConfigurationError(`part ${short} is missing`),
          );
        }
        if (computeDigest(body) !== digest) {
          return Effect.fail(
            new ConfigurationError(`part ${short} does not match its digest`),
          );
        }
      }
      return Effect.succeed(bodies);
    });
  }
}
