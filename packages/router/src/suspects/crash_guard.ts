import {Deferred, Effect} from 'effect';
import {
  Logger,
  hash32,
  readSteadyMs,
  type Address,
} from '@greengagecross/common';
import {
  CrashedServers,
  CutAttempts,
  findHighestScore,
  makeHashedIds,
  type CondemnedPart,
  type CrashReport,
  type CrashSuspects,
  type PositionedPart,
} from '@greengagecross/decisions';
import {checkListener, ListenerState} from '@greengagecross/http';
import type {BackendServer} from '../model/backend_server.js';

/** Time for the listener of a server to answer; also see CONNECT_TIMEOUT_MS. */
const PROBE_TIMEOUT_MS = 350;
/**
 * How long a request whose attempt was cut waits for the probe before its next
 * attempt: a few round trips, after which a crash is known.
 */
const VERDICT_WAIT_MS = 20;
/** Time in which a trial of a suspect has a verdict. */
const TRIAL_MS = 15_000;
const MIN_RETRY_AFTER_MS = 1000;
const logger = new Logger('suspects');

/** Why a request is not sent to a server, or that it may be. */
export enum CrashVerdict {
  ALLOWED = 'allowed',
  /** The only request that tries a condemned suspect; it gets one attempt. */
  TRIAL = 'trial',
  /** The request, or a part of its prompt, is condemned. */
  REFUSED = 'refused',
}

/** Verdict on a request, with the id of the suspect that decided it, if any. */
export interface CrashDecision {
  readonly verdict: CrashVerdict;
  readonly suspectId?: string;
  /** Time until the suspect is tried again, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Sends reports to all other daemons. */
export type SendReports = (reports: readonly CrashReport[]) => void;

const ALLOWED: CrashDecision = {verdict: CrashVerdict.ALLOWED};

/**
 * Refuses requests under which servers crash, and prompts with such a part. It
 * tells a crash from a cut connection, exchanges what it finds with the other
 * daemons, and lets one daemon of the fleet try a condemned suspect again.
 */
export class CrashGuard {
  private readonly cuts = new CutAttempts();
  private readonly crashed = new CrashedServers();
  private readonly probes = new Map<string, Deferred.Deferred<void>>();
  /** When a trial of a suspect began here, on the monotonic clock. */
  private readonly trialsAtMs = new Map<string, number>();
  private loggedIds: ReadonlySet<string> = new Set();
  private crashes = 0;

  /**
   * @param selfId id of this daemon
   * @param listRunning ids of the other daemons that run
   */
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly selfId: string,
    private readonly listRunning: () => readonly string[],
    private readonly send: SendReports,
  ) {}

  /** Decides whether a request may be sent; a trial begins with the decision. */
  check(suspects: readonly PositionedPart[]): CrashDecision {
    const condemned = this.findCondemned(suspects);
    if (condemned === undefined) return ALLOWED;
    const nowMs = readSteadyMs();
    const {id, trialAtMs} = condemned;
    if (nowMs >= trialAtMs && this.startTrial(condemned, nowMs)) {
      return {verdict: CrashVerdict.TRIAL, suspectId: id};
    }
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, trialAtMs - nowMs);
    return {
      verdict: CrashVerdict.REFUSED,
      suspectId: id,
      retryAfterMs: Math.ceil(waitMs / 1000) * 1000,
    };
  }

  /** Returns whether a request must not be sent to a further server. */
  isRefused(suspects: readonly PositionedPart[]): boolean {
    return this.findCondemned(suspects) !== undefined;
  }

  /**
   * Records an answer, which clears suspects: the first event those parts of a
   * prompt, the end of an answer a whole request.
   */
  recordAnswer(ids: readonly string[]): void {
    if (ids.length === 0) return;
    const nowMs = readSteadyMs();
    const cleared = this.suspects.recordAnswer(ids, nowMs);
    if (cleared.length === 0) return;
    for (const id of cleared) this.trialsAtMs.delete(id);
    logger.log('Suspects of crashes were cleared: a server answered.', {
      suspects: cleared.join(','),
    });
    this.onChanged(cleared, nowMs);
  }

  /** Records that a server replied, whatever its reply was. */
  recordReply(serverId: string): void {
    this.crashed.recordReply(serverId, readSteadyMs());
  }

  /**
   * Records an attempt that was cut before its answer had begun, and finds out
   * whether the server crashed. Waits for that briefly, so that the next attempt
   * follows the verdict. A server that refuses connections now was up when it
   * accepted the attempt's. One that accepts and closes them may have been down
   * before: there, only a cut at a server that has replied to this daemon since
   * its last crash counts.
   *
   * @param sentAtMs when the attempt began, on the monotonic clock
   */
  recordCut(
    suspects: readonly PositionedPart[],
    {id, address}: Pick<BackendServer, 'id' | 'address'>,
    sentAtMs: number,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const {crashed} = this;
      const wasUp = crashed.hasReplied(id) && !crashed.isDown(id, sentAtMs);
      this.cuts.add(id, {suspects, atMs: readSteadyMs(), sentAtMs, wasUp});
      const pending = this.probes.get(id) ?? this.startProbe(id, address);
      return Effect.timeoutOption(Deferred.await(pending), VERDICT_WAIT_MS);
    }).pipe(Effect.asVoid);
  }

  /** Records that a server can't be reached. */
  recordDown(serverId: string): void {
    this.recordCrash(serverId, false);
  }

  /** @param isRefused whether the server was seen to refuse connections */
  private recordCrash(serverId: string, isRefused: boolean): void {
    const nowMs = readSteadyMs();
    const recent = this.cuts
      .takeRecent(serverId, nowMs)
      .filter(({wasUp}) => isRefused || wasUp);
    if (recent.length === 0) return;
    this.crashes += 1;
    this.crashed.recordCrash(serverId, nowMs);
    const changed = new Set<string>();
    for (const {suspects, atMs, sentAtMs} of recent) {
      const crash = {server: serverId, atMs, sentAtMs};
      const blamed = this.suspects.recordCrash(suspects, crash);
      for (const id of blamed) changed.add(id);
    }
    logger.log('A backend server crashed while requests waited at it.', {
      server: serverId,
      waiting: recent.length,
      suspects: [...changed].join(','),
    });
    if (changed.size > 0) this.onChanged([...changed], nowMs);
  }

  /** Merges the reports of another daemon. */
  merge(reports: readonly CrashReport[], nowMs: number): void {
    if (reports.length === 0) return;
    for (const {server, ageMs} of reports.flatMap(report => report.crashes)) {
      this.crashed.recordCrash(server, nowMs - ageMs);
    }
    this.suspects.merge(reports, nowMs);
    this.logCondemned(nowMs);
  }

  /** Counts the crashes that were found here, since the start. */
  countCrashes(): number {
    return this.crashes;
  }

  private findCondemned(
    suspects: readonly PositionedPart[],
  ): CondemnedPart | undefined {
    return this.suspects.findCondemned(suspects.map(({id}) => id));
  }

  /**
   * One daemon of the fleet tries a suspect again, so that one which still
   * crashes servers costs one of them.
   */
  private startTrial({id}: CondemnedPart, nowMs: number): boolean {
    const daemons = makeHashedIds([this.selfId, ...this.listRunning()]);
    if (findHighestScore(hash32(id), daemons) !== this.selfId) return false;
    const startedAtMs = this.trialsAtMs.get(id) ?? -Infinity;
    if (nowMs - startedAtMs < TRIAL_MS) return false;
    this.trialsAtMs.set(id, nowMs);
    logger.log('A request tries a condemned suspect again.', {suspect: id});
    return true;
  }

  private startProbe(id: string, address: Address): Deferred.Deferred<void> {
    const done = Deferred.makeUnsafe<void>();
    this.probes.set(id, done);
    const probe = checkListener(address, PROBE_TIMEOUT_MS).pipe(
      Effect.map(state => {
        const isRefused = state === ListenerState.REFUSED;
        if (isRefused || state === ListenerState.CLOSED) {
          this.recordCrash(id, isRefused);
        } else {
          this.cuts.remove(id);
        }
      }),
      Effect.ensuring(
        Effect.sync(() => {
          this.probes.delete(id);
          Deferred.doneUnsafe(done, Effect.void);
        }),
      ),
    );
    // The request whose attempt was cut may end before the probe does.
    Effect.runFork(probe);
    return done;
  }

  private onChanged(ids: readonly string[], nowMs: number): void {
    this.logCondemned(nowMs);
    this.send(this.suspects.makeReports(ids, nowMs));
  }

  private logCondemned(nowMs: number): void {
    const condemned = this.suspects.listCondemned();
    for (const {id, crashes, trialAtMs} of condemned) {
      if (this.loggedIds.has(id)) continue;
      logger.log('A suspect is refused: servers crash under it.', {
        suspect: id,
        servers: crashes.map(({server}) => server).join(','),
        trialInMs: Math.round(trialAtMs - nowMs),
      });
    }
    this.loggedIds = new Set(condemned.map(({id}) => id));
  }
}
