import type {Effect} from 'effect';
import type {PlatformError} from './platform_error.js';

/** The platform's rate-limited store of model weights. */
export abstract class WeightStore {
  /**
   * Fetches the size of the weights of a model's version, in bytes; undefined
   * if the store does not have that version.
   */
  abstract getSize(
    model: string,
    version: string,
  ): Effect.Effect<number | undefined, PlatformError>;
}
