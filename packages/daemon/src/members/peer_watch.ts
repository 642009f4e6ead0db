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
import type {ProcessDelayMonitor} from './process_delay_monitor.js';

/** A source that sends nothing for this many intervals is sent a heartbeat. */
const SOURCE_SILENCE_HEARTBEATS = 2;
/** A suspect is retried after this share of the heartbeat interval. */
const RETRY_INTERVAL_SHARE = 0.25;
/**
 * Timeout of a probe request as a multiple of the reply timeout, because the
 * helper itself waits for the reply of the probed member.
 */
const PROBE_TIMEOUT_FACTOR = 1.5;
const REFUSED_CODE = 'ECONNREFUSED';
const logger = new Logger('members');

/** Outcome of an attempt to reach a neighbour. */
enum Outcome {
  REACHED,
  NO_REPLY,
  /**
   * The member does not listen at its address: the host refused the connection,
   * or another daemon replied.
   */
  REFUSED,
}

/** Monitors one neighbour in a fiber of its own. */
export class PeerWatch {
  private sentAtMs = 0;
  /** Whether only helpers reach the neighbour, over their own links. */
  private isIndirect = false;

  /**
   * @param isTarget whether this daemon sends heartbeats regularly, not only
   *     when the neighbour is silent or lacks an update
   * @param heartbeatMs heartbeat interval in a small fleet, in milliseconds
   * @param chooseHelpers returns the daemons that are asked to probe the
   *     neighbour when this daemon cannot reach it
   */
  constructor(
    private readonly id: string,
    private readonly isTarget: boolean,
    private readonly table: MemberTable,
    private readonly exchange: HeartbeatExchange,
    private readonly peers: PeerCaller,
    private readonly heartbeatMs: number,
    private readonly chooseHelpers: () => readonly Member[],
    private readonly delayMonitor: ProcessDelayMonitor,
    private readonly timeout: ReplyTimeout,
  ) {}

  /**
   * Sends heartbeats until the neighbour is removed from the table. A neighbour
   * that cannot be reached becomes a suspect. The retries carry the suspicion,
   * so that a running neighbour can refute it.
   */
  run(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      let dueMs = 0;
      for (;;) {
        yield* this.waitUntilDue(dueMs);
        const nowMs = yield* Clock.currentTimeMillis;
        dueMs = nowMs + this.computeIntervalMs();
        const member = this.table.find(this.id);
        if (member === undefined) return;
        if (!this.isTarget && !this.isHeartbeatNeeded(nowMs)) continue;
        this.sentAtMs = nowMs;
        const result = yield* this.tryReach(member);
        if (result === Outcome.REACHED) continue;
        const failedAtMs = yield* Clock.currentTimeMillis;
        if (this.delayMonitor.isLate(failedAtMs)) continue;
        const isSuspect = this.table.isSuspect(this.id);
        const isCertain =
          result === Outcome.REFUSED ||
          !isLargeFleet(this.table.countReachable());
        this.table.setSuspect(this.id, failedAtMs, isCertain);
        this.exchange.wakeNeighbours();
        dueMs = failedAtMs + this.computeIntervalMs() * RETRY_INTERVAL_SHARE;
        if (!isSuspect) logger.log('A peer is unreachable.', {id: this.id});
      }
    });
  }

  /**
   * Waits until a heartbeat is due or an update is pending, and then until the
   * shortest gap since the previous heartbeat has elapsed.
   */
  private waitUntilDue(dueMs: number): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs >= dueMs) return;
        if (this.exchange.hasPendingUpdate(this.id)) break;
        yield* Effect.raceFirst(
          Effect.sleep(dueMs - nowMs),
          this.exchange.updateLatch.await,
        );
      }
      const nowMs = yield* Clock.currentTimeMillis;
      const gapMs = computeUpdateGapMs(
        this.heartbeatMs,
        this.table.countReachable(),
      );
      const minGapMs = gapMs * this.timeout.computeSlowness(nowMs);
      const waitMs = this.sentAtMs + minGapMs - nowMs;
      if (waitMs > 0) yield* Effect.sleep(Math.ceil(waitMs));
    });
  }

  /** A source is sent a heartbeat if it is silent or lacks an update. */
  private isHeartbeatNeeded(nowMs: number): boolean {
    const silenceMs = this.table.computeSilenceMs(this.id, nowMs);
    const limitMs = SOURCE_SILENCE_HEARTBEATS * this.computeIntervalMs();
    return silenceMs > limitMs || this.exchange.hasPendingUpdate(this.id);
  }

  private computeIntervalMs(): number {
    return computeHeartbeatMs(this.heartbeatMs, this.table.countReachable());
  }

  /**
   * Retries and asks helpers at the same time, so that one faulty link does not
   * make the member a suspect.
   */
  private tryReach(member: Member): Effect.Effect<Outcome> {
    return Effect.gen({self: this}, function* () {
      const first = yield* this.trySend(member);
      if (first === Outcome.REACHED) {
        this.logIndirect(false);
        return first;
      }
      if (this.table.isSuspect(this.id)) return first;
      const nowMs = yield* Clock.currentTimeMillis;
      const probeMs = Math.ceil(
        PROBE_TIMEOUT_FACTOR * this.timeout.computeMs(nowMs),
      );
      if (first === Outcome.NO_REPLY) this.timeout.recordTimeout(nowMs);
      const [second, isReachedByHelpers] = yield* Effect.all(
        [this.trySend(member), this.askHelpers(member, probeMs)],
        {concurrency: 'unbounded'},
      );
      if (second === Outcome.REACHED) return second;
      if (isReachedByHelpers) {
        this.logIndirect(true);
        return Outcome.REACHED;
      }
      return first === second ? second : Outcome.NO_REPLY;
    });
  }

  private trySend(member: Member): Effect.Effect<Outcome> {
    return this.exchange.send(member.controlAddress, member.id).pipe(
      // Another id in the reply: a different daemon now uses the address.
      Effect.map(id => (id === member.id ? Outcome.REACHED : Outcome.REFUSED)),
      Effect.catch(error =>
        Effect.succeed(isRefused(error) ? Outcome.REFUSED : Outcome.NO_REPLY),
      ),
    );
  }

  private askHelpers(
    member: Member,
    timeoutMs: number,
  ): Effect.Effect<boolean> {
    const requests = this.chooseHelpers().map(helper =>
      this.askHelper(helper, member, timeoutMs),
    );
    return Effect.map(
      Effect.all(requests, {concurrency: 'unbounded'}),
      answers => answers.includes(true),
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

  private logIndirect(isIndirect: boolean): void {
    if (isIndirect === this.isIndirect) return;
    this.isIndirect = isIndirect;
    const {id} = this;
    logger.log(
      isIndirect
        ? 'A peer is reachable by other daemons only.'
        : 'A peer is reachable again.',
      {id},
    );
  }
}

function isRefused(error: PeerError): boolean {
  return error.message.includes(REFUSED_CODE);
}
