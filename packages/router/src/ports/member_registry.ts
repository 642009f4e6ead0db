import type {Effect} from 'effect';
import type {DaemonIdentity} from '../model/daemon_identity.js';

/** Registry in which daemons without known peers discover each other. */
export abstract class MemberRegistry {
  /**
   * Writes this daemon's entry; retries until the write succeeds.
   *
   * @return era of the store that the entry was written to; see `StoreVersion`
   */
  abstract add(self: DaemonIdentity): Effect.Effect<number>;

  /**
   * Lists all entries, including those of stopped daemons; a failure is logged
   * and gives an empty list.
   */
  abstract list(): Effect.Effect<readonly DaemonIdentity[]>;
}
