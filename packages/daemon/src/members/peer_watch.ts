import {Clock, Effect} from 'effect';
import {Logger, type Member} from '@greengagecross/common';
import type {MemberTable} from '@greengagecross/decisions';
import {
  PeerMethod,
  ProbeAnswerSchema,
  type PeerCaller,
} from '@greengagecross/peers';
import type {HeartbeatExchange} from './heartbeat_exchange.js';
import type {OwnDelay} from './own_delay.js';

/** Heartbeats that a source may miss before it is asked. */
const SOURCE_SILENCE_HEARTBEATS = 2.5;
const MIN_GAP_MS = 100;
const logger = new Logger('members');

/** Watches one neighbour, in its own fiber. */
export class PeerWatch {
  private sentAtMs = 0;
  private isCutOff = false;

  /**
   * @param isTarget whether this daemon sends its heartbeats
   * @param chooseHelpers daemons that may try the neighbour on its behalf
   */
  constructor(
    private readonly id: string,
    private readonly isTarget: boolean,
    private readonly table: MemberTable,
    private readonly exchange: HeartbeatExchange,
    private readonly peers: PeerCaller,
    private readonly heartbeatMs: number,
    private readonly chooseHelpers: () => readonly Member[],
    private readonly ownDelay: OwnDelay,
  ) {}

  /** Watches the neighbour until it is suspected. */
  run(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      let dueMs = 0;
      for (;;) {
        yield* this.waitTurn(dueMs);
        const nowMs = yield* Clock.currentTimeMillis;
        dueMs = nowMs + this.heartbeatMs;
        const member = this.table.find(this.id);
        if (member === undefined) return;
        if (!this.isTarget && !this.isAsked(nowMs)) continue;
        this.sentAtMs = nowMs;
        if (yield* this.isReached(member)) continue;
        const failedAtMs = yield* Clock.currentTimeMillis;
        if (this.ownDelay.isLate(failedAtMs)) continue;
        this.table.setSuspect(this.id, failedAtMs);
        this.exchange.wake();
        logger.log('A peer is suspected.', {id: this.id});
        return;
      }
    });
  }

  /** Waits until the next heartbeat is due or the neighbour misses news. */
  private waitTurn(dueMs: number): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs >= dueMs) return;
        if (this.exchange.hasNews(this.id)) break;
        yield* Effect.raceFirst(
          Effect.sleep(dueMs - nowMs),
          this.exchange.news.await,
        );
      }
      const nowMs = yield* Clock.currentTimeMillis;
      const waitMs = this.sentAtMs + MIN_GAP_MS - nowMs;
      if (waitMs > 0) yield* Effect.sleep(waitMs);
    });
  }

  /** A source is asked when it went silent or misses news. */
  private isAsked(nowMs: number): boolean {
    const silenceMs = this.table.computeSilenceMs(this.id, nowMs);
    const limitMs = SOURCE_SILENCE_HEARTBEATS * this.heartbeatMs;
    return silenceMs > limitMs || this.exchange.hasNews(this.id);
  }

  /** Tries twice, then asks others, so that one bad link suspects nobody. */
  private isReached(member: Member): Effect.Effect<boolean> {
    return Effect.gen({self: this}, function* () {
      for (let tries = 0; tries < 2; tries += 1) {
        if (!(yield* this.trySend(member))) continue;
        this.logCutOff(false);
        return true;
      }
      const isReachedByOthers = yield* this.askOthers(member);
      if (isReachedByOthers) this.logCutOff(true);
      return isReachedByOthers;
    });
  }

  private trySend(member: Member): Effect.Effect<boolean> {
    return this.exchange.send(member.controlAddress, member.id).pipe(
      Effect.map(answerer => answerer === member.id),
      Effect.catch(() => Effect.succeed(false)),
    );
  }

  private askOthers(member: Member): Effect.Effect<boolean> {
    const {id, controlAddress} = member;
    const asking = this.chooseHelpers().map(helper =>
      this.peers
        .send(
          helper.controlAddress,
          PeerMethod.PROBE,
          {id, controlAddress},
          ProbeAnswerSchema,
        )
        .pipe(
          Effect.map(answer => answer.reached),
          Effect.catch(() => Effect.succeed(false)),
        ),
    );
    return Effect.map(Effect.all(asking, {concurrency: 'unbounded'}), answers =>
      answers.includes(true),
    );
  }

  private logCutOff(isCutOff: boolean): void {
    if (isCutOff === this.isCutOff) return;
    this.isCutOff = isCutOff;
    const {id} = this;
    logger.log(
      isCutOff
        ? 'A peer is reached by others only.'
        : 'A peer is reached again.',
      {id},
    );
  }
}
