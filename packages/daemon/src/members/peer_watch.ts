import {Clock, Effect} from 'effect';
import {Logger, type Member} from '@greengagecross/common';
import {
  computeNeighbourHeartbeatMs,
  computeUpdateGapMs,
  isPartialMesh,
  type MemberTable,
  type ReplyTimeout,
} from '@greengagecross/decisions';
import {
  PeerMethod,
  ProbeAnswerSchema,
  type PeerRpc,
  type PeerError,
} from '@greengagecross/peers';
import type {HeartbeatExchange} from './heartbeat_exchange.js';
import type {ProcessDelayMonitor} from './process_delay_monitor.js';

/**
 * A source (a neighbour that sends heartbeats to this daemon) is sent a
 * heartbeat after a silence of more than this many heartbeat intervals.
 */
const SOURCE_SILENCE_HEARTBEATS = 2;
/** A suspect daemon is retried after this fraction of the heartbeat interval. */
const RETRY_INTERVAL_SHARE = 0.25;
/**
 * Timeout of a probe request as a multiple of the reply timeout, because the
 * helper itself waits for the reply of the probed member.
 */
const PROBE_TIMEOUT_FACTOR = 1.5;
const REFUSED_CODE = 'ECONNREFUSED';
const logger = new Logger('members');

/** Result of a try to reach a neighbour. */
enum Presence {
  REACHED,
  NO_REPLY,
  /**
   * The member does not listen at its address: the host refused the connection,
   * or another daemon replied.
   */
  ABSENT,
}

/** Monitors one neighbour in a fiber of its own. */
export class PeerWatch {
  private sentAtMs = 0;
  /** Whether only helpers can reach the neighbour, over their own links. */
  private isIndirect = false;

  /**
   * @param isTarget whether this daemon sends heartbeats regularly, not only
   *     when the neighbour is silent or lacks an update
   * @param heartbeatMs heartbeat interval in a fleet of at most 5 daemons, in
   *     milliseconds
   * @param chooseHelpers returns the daemons that are asked to probe the
   *     neighbour when this daemon cannot reach it
   */
  constructor(
    private readonly id: string,
    private readonly isTarget: boolean,
    private readonly table: MemberTable,
    private readonly exchange: HeartbeatExchange,
    private readonly peers: PeerRpc,
    private readonly heartbeatMs: number,
    private readonly chooseHelpers: () => readonly Member[],
    private readonly delayMonitor: ProcessDelayMonitor,
    private readonly timeout: ReplyTimeout,
  ) {}

  /**
   * Sends heartbeats until the neighbour is removed from the table. A neighbour
   * that cannot be reached becomes a suspect. Heartbeats to a suspect carry the
   * record that marks it as a suspect, so that it can refute it if it runs.
   */
  run(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      let dueAtMs = 0;
      for (;;) {
        yield* this.waitUntilDue(dueAtMs);
        const nowMs = yield* Clock.currentTimeMillis;
        dueAtMs = nowMs + this.computeIntervalMs();
        const member = this.table.find(this.id);
        if (member === undefined) return;
        if (!this.isTarget && !this.isHeartbeatNeeded(nowMs)) continue;
        this.sentAtMs = nowMs;
        const result = yield* this.tryReach(member);
        if (result === Presence.REACHED) continue;
        const failedAtMs = yield* Clock.currentTimeMillis;
        if (this.delayMonitor.isLate(failedAtMs)) continue;
        const isSuspect = this.table.isSuspect(this.id);
        // In a fleet of more than 5 daemons, a member that only failed to reply
        // has time to refute the suspicion before it takes effect.
        const takesEffectAtOnce =
          result === Presence.ABSENT ||
          !isPartialMesh(this.table.countReachable());
        this.table.setSuspect(this.id, failedAtMs, takesEffectAtOnce);
        this.exchange.wakeNeighbourFibers();
        dueAtMs = failedAtMs + this.computeIntervalMs() * RETRY_INTERVAL_SHARE;
        if (!isSuspect) logger.log('A peer is unreachable.', {id: this.id});
      }
    });
  }

  /**
   * Waits until a heartbeat is due or an update is pending, and then until the
   * shortest gap since the previous heartbeat has elapsed.
   *
   * @param dueAtMs in ms since the epoch
   */
  private waitUntilDue(dueAtMs: number): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs >= dueAtMs) return;
        if (this.exchange.hasPendingUpdate(this.id)) break;
        yield* Effect.raceFirst(
          Effect.sleep(dueAtMs - nowMs),
          this.exchange.wakeLatch.await,
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
    return computeNeighbourHeartbeatMs(
      this.heartbeatMs,
      this.table.countReachable(),
    );
  }

  /**
   * Retries and asks helpers at the same time, so that one faulty link does not
   * make the member a suspect.
   */
  private tryReach(member: Member): Effect.Effect<Presence> {
    return Effect.gen({self: this}, function* () {
      const first = yield* this.trySend(member);
      if (first === Presence.REACHED) {
        this.logIndirect(false);
        return first;
      }
      if (this.table.isSuspect(this.id)) return first;
      const nowMs = yield* Clock.currentTimeMillis;
      const probeMs = Math.ceil(
        PROBE_TIMEOUT_FACTOR * this.timeout.computeMs(nowMs),
      );
      if (first === Presence.NO_REPLY) this.timeout.recordTimeout(nowMs);
      const [second, isReachedByHelpers] = yield* Effect.all(
        [this.trySend(member), this.askHelpers(member, probeMs)],
        {concurrency: 'unbounded'},
      );
      if (second === Presence.REACHED) return second;
      if (isReachedByHelpers) {
        this.logIndirect(true);
        return Presence.REACHED;
      }
      // Absent only if both tries had that result.
      return first === second ? second : Presence.NO_REPLY;
    });
  }

  private trySend(member: Member): Effect.Effect<Presence> {
    return this.exchange.send(member.controlAddress, member.id).pipe(
      // Another id in the reply: a different daemon now uses the address.
      Effect.map(id => (id === member.id ? Presence.REACHED : Presence.ABSENT)),
      Effect.catch(error =>
        Effect.succeed(isRefused(error) ? Presence.ABSENT : Presence.NO_REPLY),
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
        : 'A peer is directly reachable again.',
      {id},
    );
  }
}

function isRefused(error: PeerError): boolean {
  return error.message.includes(REFUSED_CODE);
}
