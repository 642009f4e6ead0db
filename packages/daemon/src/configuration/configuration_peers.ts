import type {Effect} from 'effect';
import type {Address} from '@greengagecross/common';
import type {ConfigurationRevision, PartSource} from '@greengagecross/platform';

/** A daemon that may have a configuration. */
export interface ConfigurationPeer {
  readonly address: Address;
  /** Revision that its last heartbeat told; 0 when nothing was heard. */
  readonly revision: number;
}

/** The other daemons, as places to get a configuration from. */
export abstract class ConfigurationPeers {
  /** Lists those that are known, with what was heard of them. */
  abstract list(nowMs: number): readonly ConfigurationPeer[];

  /** Fetches the record that a peer has in force; undefined for none. */
  abstract fetchRecord(
    peer: ConfigurationPeer,
  ): Effect.Effect<ConfigurationRevision | undefined>;

  /** Makes the source of a peer's parts. */
  abstract makeSource(peer: ConfigurationPeer): PartSource;
}
