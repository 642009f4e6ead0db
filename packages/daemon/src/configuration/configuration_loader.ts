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

/** Maximum peers asked at once for their record, then in turn for parts. */
const MAX_PEERS_ASKED = 3;

/** Result of looking for a newer configuration. */
export interface LoadResult {
  /** Revision in the store, 0 if none; undefined when it did not answer. */
  readonly storeRevision: number | undefined;
  /** A newer configuration than the one in force; undefined for none. */
  readonly accepted: AcceptedConfiguration | undefined;
  /**
   * Why the store could not be read or its newest revision is invalid;
   * undefined without an error or if a peer supplied a newer configuration.
   */
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
   * A peer is asked if its heartbeat has a newer revision than both the
   * configuration in force and the store, if the store answers. While no
   * configuration is in force, peers are asked whatever their revision, as the
   * store may show an old one. At most MAX_PEERS_ASKED are asked. Parts are
   * read from peers if the store does not have the newest revision or valid
   * parts of it.
   */
  find(
    current: AcceptedConfiguration | undefined,
    nowMs: number,
  ): Effect.Effect<LoadResult> {
    return Effect.gen({self: this}, function* () {
      const storeRead = yield* Effect.result(this.store.readCurrent());
      const storeRecord = Result.isSuccess(storeRead)
        ? storeRead.success
        : undefined;
      const storeRevision = Result.isSuccess(storeRead)
        ? (storeRecord?.revision ?? 0)
        : undefined;
      const currentRevision = current?.record.revision ?? 0;
      const knownRevision = Math.max(currentRevision, storeRevision ?? 0);
      const peers = this.listPeers(current === undefined, knownRevision, nowMs);
      const askedPeers = peers.filter(
        peer => current === undefined || peer.revision > knownRevision,
      );
      const peerRecords = yield* this.askPeers(askedPeers);
      const newest = chooseNewest(storeRecord, peerRecords);
      let error = Result.isSuccess(storeRead) ? undefined : storeRead.failure;
      if (newest === undefined || newest.revision <= currentRevision) {
        return {storeRevision, accepted: undefined, error};
      }
      if (newest.revision === storeRecord?.revision) {
        const read = yield* Effect.result(
          this.store.readConfiguration(newest, current),
        );
        if (Result.isSuccess(read)) {
          return {storeRevision, accepted: read.success, error: undefined};
        }
        error = read.failure;
      }
      const accepted = yield* this.readFromPeers(newest, peers, current);
      // The peer has supplied what could not be read from the store.
      if (accepted !== undefined) error = undefined;
      return {storeRevision, accepted, error};
    });
  }

  /**
   * Lists peers that may have the known revision or a newer one, the newest
   * first. Those with the known revision can supply its parts.
   */
  private listPeers(
    isFirstLoad: boolean,
    knownRevision: number,
    nowMs: number,
  ): readonly ConfigurationPeer[] {
    return this.peers
      .list(nowMs)
      .filter(peer => isFirstLoad || peer.revision >= knownRevision)
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
    current: AcceptedConfiguration | undefined,
  ): Effect.Effect<AcceptedConfiguration | undefined> {
    return Effect.gen({self: this}, function* () {
      for (const peer of peers) {
        const read = yield* Effect.result(
          this.reader.read(
            record.digest,
            this.peers.makeSource(peer),
            current?.index,
          ),
        );
        if (Result.isSuccess(read)) return {record, index: read.success};
      }
      return undefined;
    });
  }
}

function chooseNewest(
  storeRecord: ConfigurationRevision | undefined,
  peerRecords: readonly ConfigurationRevision[],
): ConfigurationRevision | undefined {
  let newest = storeRecord;
  for (const other of peerRecords) {
    if (other.revision > (newest?.revision ?? 0)) newest = other;
  }
  return newest;
}
