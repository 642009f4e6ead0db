import {Clock, Effect} from 'effect';
import {Logger, type Member} from '@greengagecross/common';
import {
  computeHeartbeatMs,
  computeUpdateGapMs,
  isLargeFleet,
  type MemberTable,
  type ReplyTimeout,
} from '@greengagecross/decisions';
import {
  PeerMethod,
  ProbeAnswerSchema,
  type PeerCaller,
  type PeerError,
} from '@greengagecross/peers';
import type {HeartbeatExchange} from './heartbeat_exchange.js';
import type {OwnDelay} from './own_delay.js';

/** Heartbeats that a source may miss before it is asked. */
const SOURCE_SILENCE_HEARTBEATS = 2;
/** Share of the time between heartbeats after which a suspect is tried again. */
const RETRY_SHARE = 0.25;
/** A helper itself waits for the member. */
const PROBE_FACTOR = 1.5;
const REFUSED_CODE = 'ECONNREFUSED';
const logger = new Logger('members');

/** How far tries to reach a neighbour came. */
enum Reach {
  REACHED,
  SILENT,
  /** Its host answers that nothing listens there. */
  REFUSED,
}

/** Watches one neighbour, in its own fiber. */
export class PeerWatch {
  private sentAtMs = 0;
  private isCutOff = false;

  /**
   * @param isTarget whether this daemon sends its heartbeats
   * @param heartbeatMs time between two heartbeats in a small fleet
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
    private readonly timeout: ReplyTimeout,
  ) {}

  /** Watches the neighbour; one that it suspects hears of it if it is there. */
  run(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      let dueMs = 0;
      for (;;) {
        yield* this.waitTurn(dueMs);
        const nowMs = yield* Clock.currentTimeMillis;
        dueMs = nowMs + this.computeIntervalMs();
        const member = this.table.find(this.id);
        if (member === undefined) return;
        if (!this.isTarget && !this.isAsked(nowMs)) continue;
        this.sentAtMs = nowMs;
        const reach = yield* this.tryReach(member);
        if (reach === Reach.REACHED) continue;
        const failedAtMs = yield* Clock.currentTimeMillis;
        if (this.ownDelay.isLate(failedAtMs)) continue;
        const isSuspect = this.table.isSuspect(this.id);
        const isCertain =
          reach === Reach.REFUSED || !isLargeFleet(this.table.countReachable());
        this.table.setSuspect(this.id, failedAtMs, isCertain);
        this.exchange.wake();
        dueMs = failedAtMs + this.computeIntervalMs() * RETRY_SHARE;
        if (!isSuspect) logger.log('A peer is suspected.', {id: this.id});
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
      const gapMs = computeUpdateGapMs(
        this.heartbeatMs,
        this.table.countReachable(),
      );
      const spacedMs = gapMs * this.timeout.computeSlowness(nowMs);
      const waitMs = this.sentAtMs + spacedMs - nowMs;
      if (waitMs > 0) yield* Effect.sleep(Math.ceil(waitMs));
    });
  }

  /** A source is asked when it went silent or misses news. */
  private isAsked(nowMs: number): boolean {
    const silenceMs = this.table.computeSilenceMs(this.id, nowMs);
    const limitMs = SOURCE_SILENCE_HEARTBEATS * this.computeIntervalMs();
    return silenceMs > limitMs || this.exchange.hasNews(this.id);
  }

  private computeIntervalMs(): number {
    return computeHeartbeatMs(this.heartbeatMs, this.table.countReachable());
  }

  /** Tries again and asks others, so that one bad link suspects nobody. */
  private tryReach(member: Member): Effect.Effect<Reach> {
    return Effect.gen({self: this}, function* () {
      const first = yield* this.trySend(member);
      if (first === Reach.REACHED) {
        this.logCutOff(false);
        return first;
      }
      if (this.table.isSuspect(this.id)) return first;
      const nowMs = yield* Clock.currentTimeMillis;
      const probeMs = Math.ceil(PROBE_FACTOR * this.timeout.computeMs(nowMs));
      if (first === Reach.SILENT) this.timeout.recordTimeout(nowMs);
      const [second, isReachedByOthers] = yield* Effect.all(
        [this.trySend(member), this.askOthers(member, probeMs)],
        {concurrency: 'unbounded'},
      );
      if (second === Reach.REACHED) return second;
      if (isReachedByOthers) {
        this.logCutOff(true);
        return Reach.REACHED;
      }
      return first === second ? second : Reach.SILENT;
    });
  }

  private trySend(member: Member): Effect.Effect<Reach> {
    return this.exchange.send(member.controlAddress, member.id).pipe(
      // Another daemon at the address has taken the place of this one.
      Effect.map(id => (id === member.id ? Reach.REACHED : Reach.REFUSED)),
      Effect.catch(error =>
        Effect.succeed(isRefused(error) ? Reach.REFUSED : Reach.SILENT),
      ),
    );
  }

  private askOthers(member: Member, timeoutMs: number): Effect.Effect<boolean> {
    const asking = this.chooseHelpers().map(helper =>
      this.askHelper(helper, member, timeoutMs),
    );
    return Effect.map(Effect.all(asking, {concurrency: 'unbounded'}), answers =>
      answers.includes(true),
    );
  }

  private askHelper(
    helper: Member,
    {id, controlAddress}: Member,
    timeoutMs: number,
  ): Effect.Effect<boolean> {
    const probe = {id, controlAddress};
    const {PROBE} = PeerMethod;
    return this.peers
      .send(helper.controlAddress, PROBE, probe, ProbeAnswerSchema, timeoutMs)
      .pipe(
        Effect.map(answer => answer.reached),
        Effect.catch(() => Effect.succeed(false)),
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

function isRefused(error: PeerError): boolean {
  return error.message.includes(REFUSED_CODE);
}
