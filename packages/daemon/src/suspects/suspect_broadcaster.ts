import {Clock, Deferred, Effect, Schema} from 'effect';
import type {SuspectRegistry, SuspectEntry} from '@greengagecross/decisions';
import {
  MAX_SUSPECTS_PER_CALL,
  PeerMethod,
  type PeerRpc,
  type SuspectReport,
} from '@greengagecross/peers';
import {toEntry, toReport} from './suspect_messages.js';
import type {
  SuspectRecipient,
  SuspectRecipients,
} from './suspect_recipients.js';
import {UnconfirmedSuspects} from './unconfirmed_suspects.js';

/** Suspects found within this time, as after one crash, share a message. */
const BATCH_WINDOW_MS = 10;
const SEND_RETRIES = 2;
const RESEND_INTERVAL_MS = 1000;

/**
 * Sends the states of suspects to all daemons that may serve callers. A state is
 * an entry here and a report in the RPC.
 */
export class SuspectBroadcaster {
  private messageCount = 0;
  private readonly unconfirmed = new UnconfirmedSuspects();
  private pending = new Map<string, SuspectEntry>();
  private batch: Deferred.Deferred<void> | undefined;

  constructor(
    private readonly registry: SuspectRegistry,
    private readonly recipients: SuspectRecipients,
    private readonly peers: PeerRpc,
  ) {}

  /**
   * Sends an entry to every peer; ends when each has confirmed it or did not
   * answer in time. Peers that did not confirm it are sent it again by `run`.
   * Of a batch of more than MAX_SUSPECTS_PER_CALL entries only the last ones
   * are sent; if that call succeeds, the others are not sent later either.
   */
  send(entry: SuspectEntry): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      this.pending.set(entry.fingerprint, entry);
      const batch = this.batch ?? (yield* this.startBatch());
      yield* Deferred.await(batch);
    });
  }

  /** Merges the reports of a peer. */
  mergeReports(suspects: readonly SuspectReport[]): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      for (const report of suspects) {
        this.registry.merge(toEntry(report, nowMs), nowMs);
      }
    });
  }

  /** Lists all unexpired entries, for a peer that may have missed updates. */
  answerFetch(): Effect.Effect<{readonly suspects: readonly SuspectReport[]}> {
    return Effect.map(Clock.currentTimeMillis, nowMs => ({
      suspects: this.registry.list(nowMs).map(entry => toReport(entry, nowMs)),
    }));
  }

  /** Counts the messages tried, retries included, since the start. */
  countMessages(): number {
    return this.messageCount;
  }

  /** Counts the peers that have not confirmed at least one update. */
  countUnconfirmedPeers(): number {
    return this.unconfirmed.countPeers();
  }

  /** Sends unconfirmed entries again at each interval; never ends. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(this.sendUnconfirmed(), Effect.sleep(RESEND_INTERVAL_MS)),
    );
  }

  /** Starts a batch, sent even if a fiber that waits for it is interrupted. */
  private startBatch(): Effect.Effect<Deferred.Deferred<void>> {
    return Effect.gen({self: this}, function* () {
      const sent = Deferred.makeUnsafe<void>();
      this.batch = sent;
      const end = Deferred.succeed(sent, undefined);
      yield* Effect.forkDetach(Effect.ensuring(this.sendBatch(), end));
      return sent;
    });
  }

  private sendBatch(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      yield* Effect.sleep(BATCH_WINDOW_MS);
      const entries = [...this.pending.values()];
      this.pending = new Map();
      this.batch = undefined;
      yield* Effect.forEach(
        this.recipients.list(),
        peer => this.sendTo(peer, entries),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  private sendUnconfirmed(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const isUnchanged = (entry: SuspectEntry): boolean =>
        this.registry.getState(entry.fingerprint, nowMs) === entry.state;
      const due = this.recipients.list().flatMap(peer => {
        const entries = this.unconfirmed.take(peer.id).filter(isUnchanged);
        return entries.length === 0 ? [] : [{peer, entries}];
      });
      yield* Effect.forEach(
        due,
        ({peer, entries}) => this.sendTo(peer, entries),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  private sendTo(
    peer: SuspectRecipient,
    entries: readonly SuspectEntry[],
  ): Effect.Effect<void> {
    const send = Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      this.messageCount += 1;
      const suspects = entries
        .slice(-MAX_SUSPECTS_PER_CALL)
        .map(entry => toReport(entry, nowMs));
      return this.peers.send(
        peer.controlAddress,
        PeerMethod.SEND_SUSPECTS,
        {suspects},
        Schema.Unknown,
      );
    });
    return send.pipe(
      // A peer without current heartbeats is tried once, to limit the wait.
      Effect.retry({times: peer.isHeartbeatCurrent ? SEND_RETRIES : 0}),
      Effect.asVoid,
      Effect.catch(() =>
        Effect.sync(() => this.unconfirmed.add(peer.id, entries)),
      ),
    );
  }
}
