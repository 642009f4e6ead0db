import type {Effect} from 'effect';
import type {Address} from '@greengagecross/common';
import type {ConfigurationRevision, PartSource} from '@greengagecross/platform';

/** A daemon from which a configuration may be fetched. */
export interface ConfigurationPeer {
  readonly address: Address;
  /** Revision in its last heartbeat; 0 when no heartbeat was received. */
  readonly revision: number;
}

/** The other daemons, as sources of configurations. */
export abstract class ConfigurationPeers {
  /** Lists the known daemons with the revisions in their last heartbeats. */
  abstract list(nowMs: number): readonly ConfigurationPeer[];

  /**
   * Fetches the record of the revision that a peer has in force; undefined if
   * the peer has none or gives no valid answer.
   */
  abstract fetchRecord(
    peer: ConfigurationPeer,
  ): Effect.Effect<ConfigurationRevision | undefined>;

  /** Makes the source that fetches configuration parts from a peer. */
  abstract makeSource(peer: ConfigurationPeer): PartSource;
}
