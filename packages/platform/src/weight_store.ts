import type {Effect} from 'effect';
import type {PlatformError} from './platform_error.js';

/** The platform's rate-limited store of model weights. */
export abstract class WeightStore {
  /** Checks that a version of a model's weights exists; gives its bytes. */
  abstract getSize(
    model: string,
    version: string,
  ): Effect.Effect<number | undefined, PlatformError>;
}
