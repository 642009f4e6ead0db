import type {Effect} from 'effect';
import type {HostList} from './host.js';
import type {PlatformError} from './platform_error.js';

/** The platform's list of live and leaving hosts; it lags. */
export abstract class HostDirectory {
  /** Fetches the list as the platform shows it now. */
  abstract fetch(): Effect.Effect<HostList, PlatformError>;

  /** Tells whether a fetch costs little while the list stays the same. */
  isConditional(): boolean {
    return false;
  }
}
