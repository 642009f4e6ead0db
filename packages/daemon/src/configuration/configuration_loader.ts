import {Effect, Result} from 'effect';
import {
  ConfigurationReader,
  type AcceptedConfiguration,
  type ConfigurationRevision,
  type ConfigurationStore,
  type ReadError,
} from '@greengagecross/platform';
import type {
  ConfigurationPeer,
  ConfigurationPeers,
} from './configuration_peers.js';

const MAX_PEERS_ASKED = 3;

/** What was found when looking for the newest configuration. */
export interface Finding {
  /** Revision that the store shows; undefined when it did not answer. */
  readonly storeRevision: number | undefined;
  /** A newer configuration than the one in force. */
  readonly accepted: AcceptedConfiguration | undefined;
  /** Why a newer revision could not be taken. */
  readonly error: ReadError | undefined;
}

/** Looks for a newer configuration in the store and at peers. */
export class ConfigurationLoader {
  private readonly reader = new ConfigurationReader();

  constructor(
    private readonly store: ConfigurationStore,
    private readonly peers: ConfigurationPeers,
  ) {}

  /**
   * Finds the newest configuration.
   *
   * Peers are asked where the store does not answer, shows an older revision
   * than they told of, or holds parts that are wrong; and always before the
   * first configuration, since the store may show the past.
   */
  find(
    held: AcceptedConfiguration | undefined,
    nowMs: number,
  ): Effect.Effect<Finding> {
    return Effect.gen({self: this}, function* () {
      const shown = yield* Effect.result(this.store.readCurrent());
      const record = Result.isSuccess(shown) ? shown.success : undefined;
      const storeRevision = Result.isSuccess(shown)
        ? (record?.revision ?? 0)
        : undefined;
      const heldRevision = held?.record.revision ?? 0;
      const known = Math.max(heldRevision, storeRevision ?? 0);
      const peers = this.listPeers(held === undefined, known, nowMs);
      const worthAsking = peers.filter(
        peer => held === undefined || peer.revision > known,
      );
      const told = yield* this.askPeers(worthAsking);
      const newest = chooseNewest(record, told);
      let error = Result.isSuccess(shown) ? undefined : shown.failure;
      if (newest === undefined || newest.revision <= heldRevision) {
        return {storeRevision, accepted: undefined, error};
      }
      if (newest.revision === record?.revision) {
        const read = yield* Effect.result(
          this.store.readConfiguration(newest, held),
        );
        if (Result.isSuccess(read)) {
          return {storeRevision, accepted: read.success, error: undefined};
        }
        error = read.failure;
      }
      const accepted = yield* this.readFromPeers(newest, peers, held);
      // What a peer gave stands in for what the store could not give.
      if (accepted !== undefined) error = undefined;
      return {storeRevision, accepted, error};
    });
  }

  /** Lists peers worth asking, those with the newest revision first. */
  private listPeers(
    isBooting: boolean,
    known: number,
    nowMs: number,
  ): readonly ConfigurationPeer[] {
    return this.peers
      .list(nowMs)
      .filter(peer => isBooting || peer.revision >= known)
      .sort((a, b) => b.revision - a.revision)
      .slice(0, MAX_PEERS_ASKED);
  }

  private askPeers(
    peers: readonly ConfigurationPeer[],
  ): Effect.Effect<readonly ConfigurationRevision[]> {
    return Effect.map(
      Effect.forEach(peers, peer => this.peers.fetchRecord(peer), {
        concurrency: 'unbounded',
      }),
      records => records.filter(record => record !== undefined),
    );
  }

  private readFromPeers(
    record: ConfigurationRevision,
    peers: readonly ConfigurationPeer[],
    held: AcceptedConfiguration | undefined,
  ): Effect.Effect<AcceptedConfiguration | undefined> {
    return Effect.gen({self: this}, function* () {
      for (const peer of peers) {
        const read = yield* Effect.result(
          this.reader.read(
            record.digest,
            this.peers.makeSource(peer),
            held?.index,
          ),
        );
        if (Result.isSuccess(read)) return {record, index: read.success};
      }
      return undefined;
    });
  }
}

function chooseNewest(
  record: ConfigurationRevision | undefined,
  told: readonly ConfigurationRevision[],
): ConfigurationRevision | undefined {
  let newest = record;
  for (const other of told) {
    if (other.revision > (newest?.revision ?? 0)) newest = other;
  }
  return newest;
}
