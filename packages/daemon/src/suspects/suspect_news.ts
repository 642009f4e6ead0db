import {Clock, Deferred, Effect, Schema} from 'effect';
import type {SuspectRegistry, SuspectEntry} from '@greengagecross/decisions';
import {
  MAX_SUSPECTS_PER_CALL,
  PeerMethod,
  type PeerCaller,
  type SuspectReport,
} from '@greengagecross/peers';
import {toEntry, toTold} from './suspect_wire.js';
import type {ToldDaemon, ToldDaemons} from './told_daemons.js';
import {UntoldSuspects} from './untold_suspects.js';

/** Suspects of one crash are found within this time and go in one message. */
const BATCH_MS = 10;
const TELL_RETRIES = 2;
const SEND_AGAIN_MS = 1000;

/** Brings what daemons hold against requests to all of them. */
export class SuspectNews {
  private messages = 0;
  private readonly untold = new UntoldSuspects();
  private pending = new Map<string, SuspectEntry>();
  private batch: Deferred.Deferred<void> | undefined;

  constructor(
    private readonly book: SuspectRegistry,
    private readonly daemons: ToldDaemons,
    private readonly peers: PeerCaller,
  ) {}

  /** Tells every peer; ends when each knows or did not answer in time. */
  send(entry: SuspectEntry): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      this.pending.set(entry.fingerprint, entry);
      const batch = this.batch ?? (yield* this.startBatch());
      yield* Deferred.await(batch);
    });
  }

  /** Takes in what a peer told. */
  answerSend(suspects: readonly SuspectReport[]): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      for (const told of suspects) {
        this.book.merge(toEntry(told, nowMs), nowMs);
      }
    });
  }

  /** Lists all that this daemon holds, for a peer that may have missed some. */
  answerFetch(): Effect.Effect<{readonly suspects: readonly SuspectReport[]}> {
    return Effect.map(Clock.currentTimeMillis, nowMs => ({
      suspects: this.book.list(nowMs).map(entry => toTold(entry, nowMs)),
    }));
  }

  /** Counts the messages sent to peers. */
  countMessages(): number {
    return this.messages;
  }

  /** Counts the peers that have not yet been told something. */
  countUntoldPeers(): number {
    return this.untold.countPeers();
  }

  /** Tells again those that did not answer, for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(this.sendUntold(), Effect.sleep(SEND_AGAIN_MS)),
    );
  }

  /** One message serves all that wait for it, whoever of them leaves. */
  private startBatch(): Effect.Effect<Deferred.Deferred<void>> {
    return Effect.gen({self: this}, function* () {
      const told = Deferred.makeUnsafe<void>();
      this.batch = told;
      const end = Deferred.succeed(told, undefined);
      yield* Effect.forkDetach(Effect.ensuring(this.sendBatch(), end));
      return told;
    });
  }

  private sendBatch(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      yield* Effect.sleep(BATCH_MS);
      const entries = [...this.pending.values()];
      this.pending = new Map();
      this.batch = undefined;
      yield* Effect.forEach(
        this.daemons.list(),
        peer => this.sendTo(peer, entries),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  private sendUntold(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const isKept = (entry: SuspectEntry): boolean =>
        this.book.getState(entry.fingerprint, nowMs) === entry.state;
      const due = this.daemons.list().flatMap(peer => {
        const entries = this.untold.take(peer.id).filter(isKept);
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
    peer: ToldDaemon,
    entries: readonly SuspectEntry[],
  ): Effect.Effect<void> {
    const send = Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      this.messages += 1;
      const suspects = entries
        .slice(-MAX_SUSPECTS_PER_CALL)
        .map(entry => toTold(entry, nowMs));
      return this.peers.send(
        peer.controlAddress,
        PeerMethod.SEND_SUSPECTS,
        {suspects},
        Schema.Unknown,
      );
    });
    return send.pipe(
      // One that is thought lost is tried once, so that no caller waits long.
      Effect.retry({times: peer.isHeard ? TELL_RETRIES : 0}),
      Effect.asVoid,
      Effect.catch(() => Effect.sync(() => this.untold.add(peer.id, entries))),
    );
  }
}
