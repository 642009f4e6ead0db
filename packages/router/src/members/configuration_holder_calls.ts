import {Effect} from 'effect';
import {
  formatAddress,
  readSteadyMs,
  toError,
  type SeededRandom,
} from '@greengagecross/common';
import {PeerError, PeerMethod, type PeerRpc} from '@greengagecross/peers';
import {ConfigurationSource} from '../metrics/configuration_source.js';
import {TransferOutcome} from '../metrics/transfer_outcome.js';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import type {FleetState} from '../state/fleet_state.js';
import type {ConfigurationDocuments} from './configuration_documents.js';
import type {
  ConfigurationHolder,
  ConfigurationHolders,
} from './configuration_holders.js';
import {
  ConfigurationResultSchema,
  type ConfigurationQuery,
  type ConfigurationResult,
} from './configuration_message.js';
import type {ConfigurationTransferLog} from './configuration_transfer_log.js';
import {readClockMs} from './read_clock_ms.js';

/** Time without a byte after which a peer counts as failed. */
const PEER_SILENCE_MS = 500;
/** Time after which a peer that is still receiving is asked again. */
const RECEIVING_PEER_PAUSE_MS = 50;
const MAX_BUSY_PAUSE_MS = 2000;

/** Asks peers for a newer configuration and applies what they send. */
export class ConfigurationHolderCalls {
  constructor(
    private readonly self: DaemonIdentity,
    private readonly state: FleetState,
    private readonly peers: PeerRpc,
    private readonly documents: ConfigurationDocuments,
    private readonly holders: ConfigurationHolders,
    private readonly transfers: ConfigurationTransferLog,
    private readonly random: SeededRandom,
  ) {}

  /** Asks a peer for the configuration; returns whether it answered. */
  ask(holder: ConfigurationHolder): Effect.Effect<boolean> {
    const {id, address} = holder;
    const query: ConfigurationQuery = {
      version: this.state.configuration.getVersion(),
      id: this.self.id,
      address: this.self.peers,
    };
    return Effect.gen({self: this}, function* () {
      const startedAtMs = yield* readClockMs;
      const result = yield* this.peers.send(
        address,
        PeerMethod.FETCH_CONFIGURATION,
        query,
        ConfigurationResultSchema,
        PEER_SILENCE_MS,
      );
      yield* this.apply(holder, result);
      const nowMs = yield* readClockMs;
      this.record(holder, result, startedAtMs, nowMs);
      return true;
    }).pipe(
      Effect.catch(error =>
        Effect.sync(() => {
          this.holders.setFailed(id);
          const {PEER} = ConfigurationSource;
          this.transfers.recordFailure(PEER, id, error.message);
          return false;
        }),
      ),
    );
  }

  private apply(
    {address}: ConfigurationHolder,
    {document}: ConfigurationResult,
  ): Effect.Effect<void, PeerError> {
    if (document === undefined) return Effect.void;
    return Effect.try({
      try: () => this.documents.apply(document, readSteadyMs()),
      catch: thrown =>
        new PeerError(
          PeerMethod.FETCH_CONFIGURATION,
          formatAddress(address),
          toError(thrown),
        ),
    });
  }

  /** Records an answer, and when and whom to ask next. */
  private record(
    {id: peer}: ConfigurationHolder,
    {document, busy}: ConfigurationResult,
    startedAtMs: number,
    nowMs: number,
  ): void {
    const {holders, transfers} = this;
    const source = ConfigurationSource.PEER;
    if (document !== undefined) {
      const {version, deflated} = document;
      const received = {version, source, startedAtMs, peer};
      transfers.recordReceived({...received, bytes: deflated.length}, nowMs);
      return;
    }
    transfers.recordAttempt(
      source,
      busy === undefined ? TransferOutcome.UNCHANGED : TransferOutcome.BUSY,
    );
    if (busy !== undefined) holders.addReferred(busy.version, busy.holders);
    if (busy?.turn !== undefined) {
      const {peer: next, afterMs} = busy.turn;
      const atMs = nowMs + Math.min(afterMs, MAX_BUSY_PAUSE_MS);
      holders.setTurn(busy.version, next, atMs);
    }
    const pauseMs = busy?.retryAfterMs ?? RECEIVING_PEER_PAUSE_MS;
    const factor = 1 + this.random.nextUnit();
    holders.setPaused(
      peer,
      nowMs + Math.min(pauseMs, MAX_BUSY_PAUSE_MS) * factor,
    );
  }
}
