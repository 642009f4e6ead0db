import type {Effect} from 'effect';
import type {HostList} from './host.js';
import type {PlatformError} from './platform_error.js';

/**
 * Source of the platform's list of live and leaving hosts. Not the directory
 * for callers, which daemons serve at `/v1/directory`.
 */
export abstract class HostListSource {
  /** Fetches the list that the platform has now; it may be out of date. */
  abstract fetch(): Effect.Effect<HostList, PlatformError>;

  /**
   * Returns whether the next fetch is conditional.
   *
   * The reply to a conditional fetch omits an unchanged list, so that frequent
   * fetches cost little.
   */
  isFetchConditional(): boolean {
    return false;
  }
}
