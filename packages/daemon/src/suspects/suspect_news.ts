import {Clock, Deferred, Effect, Schema} from 'effect';
import type {Member} from '@greengagecross/common';
import type {SuspectBook, SuspectEntry} from '@greengagecross/decisions';
import {
  MAX_SUSPECTS_A_CALL,
  PeerMethod,
  type PeerCaller,
  type ToldSuspect,
} from '@greengagecross/peers';
import type {MemberService} from '../members/member_service.js';
import {toEntry, toTold} from './suspect_wire.js';
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
    private readonly book: SuspectBook,
    private readonly members: MemberService,
    private readonly peers: PeerCaller,
  ) {}

  /** Tells every peer; ends when each knows or did not answer in time. */
  send(entry: SuspectEntry): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.pending.set(entry.fingerprint, entry);
      this.batch ??= this.startBatch();
      return Deferred.await(this.batch);
    });
  }

  /** Takes in what a peer told. */
  answerSend(suspects: readonly ToldSuspect[]): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      for (const told of suspects) {
        this.book.observe(toEntry(told, nowMs), nowMs);
      }
    });
  }

  /** Lists all that this daemon holds, for a peer that may have missed some. */
  answerFetch(): Effect.Effect<{readonly suspects: readonly ToldSuspect[]}> {
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

  private startBatch(): Deferred.Deferred<void> {
    const told = Deferred.makeUnsafe<void>();
    const send = Effect.gen({self: this}, function* () {
      yield* Effect.sleep(BATCH_MS);
      const entries = [...this.pending.values()];
      this.pending = new Map();
      this.batch = undefined;
      yield* Effect.forEach(
        this.members.listOthers(),
        peer => this.sendTo(peer, entries),
        {concurrency: 'unbounded', discard: true},
      );
    });
    Effect.runFork(Effect.ensuring(send, Deferred.succeed(told, undefined)));
    return told;
  }

  private sendUntold(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const isKept = (entry: SuspectEntry): boolean =>
        this.book.getState(entry.fingerprint, nowMs) === entry.state;
      const due = this.members.listOthers().flatMap(peer => {
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
    peer: Member,
    entries: readonly SuspectEntry[],
  ): Effect.Effect<void> {
    const send = Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      this.messages += 1;
      const suspects = entries
        .slice(-MAX_SUSPECTS_A_CALL)
        .map(entry => toTold(entry, nowMs));
      return this.peers.send(
        peer.controlAddress,
        PeerMethod.TELL_SUSPECTS,
        {suspects},
        Schema.Unknown,
      );
    });
    return send.pipe(
      Effect.retry({times: TELL_RETRIES}),
      Effect.asVoid,
      Effect.catch(() => Effect.sync(() => this.untold.add(peer.id, entries))),
    );
  }
}
