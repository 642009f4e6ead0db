import {Clock, Effect, Schema} from 'effect';
import {
  listByRendezvous,
  SuspectState,
  type Member,
} from '@greengagecross/common';
import type {
  SuspectRegistry,
  Trial,
  TrialTable,
} from '@greengagecross/decisions';
import {
  PeerMethod,
  TrialAnswerSchema,
  type AcquireTrial,
  type PeerRpc,
  type ReleaseTrial,
  type TrialAnswer,
} from '@greengagecross/peers';
import type {MemberService} from '../members/member_service.js';
import {toEntry, toReport} from './suspect_messages.js';

/** Maximum granting daemons asked in turn while the previous do not answer. */
const MAX_GRANTING_DAEMONS = 3;
const RELEASE_RETRIES = 2;

/**
 * Requests and grants trial permits. A trial is the run of a suspect (a request
 * that was in flight when its backend server crashed) alone among suspects on a
 * backend server. One daemon grants them for each
 * service: the first by rendezvous hashing over the live daemons, or the next
 * if it does not answer.
 */
export class TrialPermits {
  constructor(
    private readonly selfId: string,
    private readonly members: MemberService,
    private readonly table: TrialTable,
    private readonly registry: SuspectRegistry,
    private readonly peers: PeerRpc,
  ) {}

  /**
   * Requests a trial permit; false if it was refused or no daemon answered. May
   * be repeated until the permit is granted.
   */
  acquire(
    service: string,
    trial: Omit<AcquireTrial, 'holder'>,
  ): Effect.Effect<boolean> {
    return Effect.gen({self: this}, function* () {
      const request = {...trial, holder: this.selfId};
      for (const daemon of yield* this.listGrantingDaemons(service)) {
        const answer = yield* this.requestTrial(daemon, request);
        if (answer === undefined) continue;
        const nowMs = yield* Clock.currentTimeMillis;
        for (const report of answer.suspects) {
          this.registry.merge(toEntry(report, nowMs), nowMs);
        }
        return answer.granted;
      }
      return false;
    });
  }

  /**
   * Releases a trial permit at all granting daemons, whether or not it was
   * granted (an answer may have been lost), and tells them if the request of
   * the trial completed.
   */
  release(service: string, release: ReleaseTrial): Effect.Effect<void> {
    return Effect.flatMap(this.listGrantingDaemons(service), daemons =>
      Effect.forEach(daemons, daemon => this.sendRelease(daemon, release), {
        concurrency: 'unbounded',
        discard: true,
      }),
    );
  }

  /** Answers a daemon that requests a trial permit. */
  answerAcquire(request: AcquireTrial): Effect.Effect<TrialAnswer> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {fingerprint, leaseMs, ...rest} = request;
      const entry = this.registry.find(fingerprint, nowMs);
      const suspects = entry === undefined ? [] : [toReport(entry, nowMs)];
      if (entry?.state === SuspectState.CONDEMNED) {
        return {granted: false, suspects};
      }
      const trial: Trial = {fingerprint, ...rest, untilMs: nowMs + leaseMs};
      const reachableDaemons = new Set(
        this.members.listReachable().map(({id}) => id),
      );
      reachableDaemons.add(this.selfId).add(request.holder);
      const granted = this.table.acquire(trial, nowMs, id =>
        reachableDaemons.has(id),
      );
      return {granted, suspects};
    });
  }

  /** Answers a daemon whose trial has ended. */
  answerRelease({attemptId, cleared}: ReleaseTrial): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      this.table.release(attemptId);
      if (cleared !== undefined) this.registry.recordCompleted(cleared, nowMs);
    });
  }

  private listGrantingDaemons(service: string): Effect.Effect<Member[]> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const live = this.members.listLive(nowMs);
      const byId = new Map(live.map(member => [member.id, member]));
      return listByRendezvous(`trials ${service}`, [...byId.keys()])
        .slice(0, MAX_GRANTING_DAEMONS)
        .flatMap(id => byId.get(id) ?? []);
    });
  }

  private requestTrial(
    daemon: Member,
    request: AcquireTrial,
  ): Effect.Effect<TrialAnswer | undefined> {
    if (daemon.id === this.selfId) return this.answerAcquire(request);
    const {controlAddress} = daemon;
    return this.peers
      .send(
        controlAddress,
        PeerMethod.ACQUIRE_TRIAL,
        request,
        TrialAnswerSchema,
      )
      .pipe(Effect.catch(() => Effect.succeed(undefined)));
  }

  private sendRelease(
    daemon: Member,
    release: ReleaseTrial,
  ): Effect.Effect<void> {
    if (daemon.id === this.selfId) {
      return this.answerRelease(release);
    }
    return this.peers
      .send(
        daemon.controlAddress,
        PeerMethod.RELEASE_TRIAL,
        release,
        Schema.Unknown,
      )
      .pipe(
        Effect.retry({times: RELEASE_RETRIES}),
        Effect.ignore,
        Effect.forkDetach,
        Effect.asVoid,
      );
  }
}
