import type {Effect} from 'effect';
import type {DaemonIdentity} from '../model/daemon_identity.js';

/** Where daemons that know no other one find each other. */
export abstract class MemberRegistry {
  /** Writes this daemon's entry, trying until it stands. */
  abstract add(self: DaemonIdentity): Effect.Effect<void>;

  /** Lists all entries, those of daemons that are gone included. */
  abstract list(): Effect.Effect<readonly DaemonIdentity[]>;
}
