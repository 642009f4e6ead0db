import {Effect} from 'effect';
import {decodeJson} from '@greengagecross/common';
import {
  PeerMethod,
  RevisionAnswerSchema,
  type PeerClient,
} from '@greengagecross/peers';
import {
  ConfigurationRevisionSchema,
  type ConfigurationRevision,
  type PartSource,
} from '@greengagecross/platform';
import {
  ConfigurationPeers,
  type ConfigurationPeer,
} from './configuration_peers.js';
import {PeerPartSource} from './peer_part_source.js';

/** Fetches configurations from daemons over their control listeners. */
export class DaemonConfigurationPeers extends ConfigurationPeers {
  /** @param listPeers lists daemons known from heartbeats and the host list */
  constructor(
    private readonly client: PeerClient,
    private readonly listPeers: (nowMs: number) => readonly ConfigurationPeer[],
  ) {
    super();
  }

  override list(nowMs: number): readonly ConfigurationPeer[] {
    return this.listPeers(nowMs);
  }

  override fetchRecord(
    peer: ConfigurationPeer,
  ): Effect.Effect<ConfigurationRevision | undefined> {
    const {address} = peer;
    return this.client
      .send(address, PeerMethod.FETCH_REVISION, {}, RevisionAnswerSchema)
      .pipe(
        Effect.flatMap(({record}) =>
          Effect.try(() =>
            record === undefined
              ? undefined
              : decodeJson(ConfigurationRevisionSchema, record, 'a record'),
          ),
        ),
        Effect.catch(() => Effect.undefined),
      );
  }

  override makeSource(peer: ConfigurationPeer): PartSource {
    return new PeerPartSource(this.client, peer.address);
  }
}
