import {Clock, Effect} from 'effect';
import {BackendFailure, isKnownNotRun} from '@greengagecross/backend';
import {AttemptCost, type RequestDeadline} from '@greengagecross/decisions';
import type {PlacedServer} from '../placement/placement_service.js';
import {computeAttemptCost} from './deadlines.js';
import type {Refusal} from './refusal.js';

/**
 * Maximum number of rounds for one request; a round lists the engines and tries
 * each once. After a crash the request's deadline limits the rounds instead.
 */
const MAX_ROUNDS = 5;
const ROUND_INTERVAL_MS = 250;

/** Lists the engines to try for a request, by their currently known loads. */
export type ListCandidates = Effect.Effect<PlacedServer[], Refusal>;

/** Queue of the engines that are still to be tried for one request. */
export class EngineQueue {
  private queue: PlacedServer[] = [];
  private rounds = 0;
  private hasFailed = false;
  /** Whether an attempt put load on an engine or may have run there. */
  private hasPutLoad = false;
  private hasCrashed = false;
  private shortestWaitMs = 0;
  /** Ids of the engines that crashed or could not be reached. */
  private readonly down = new Set<string>();

  constructor(
    private readonly listCandidates: ListCandidates,
    private readonly deadline: RequestDeadline,
  ) {}

  /** Records how an attempt failed. */
  recordFailure(engine: string, failure: BackendFailure): void {
    this.hasFailed = true;
    const causedNoLoad = computeAttemptCost(failure) === AttemptCost.NONE;
    this.hasPutLoad ||= !causedNoLoad || !isKnownNotRun(failure);
    const isCrash = failure === BackendFailure.CRASHED;
    this.hasCrashed = this.hasCrashed || isCrash;
    if (isCrash || failure === BackendFailure.NOT_SENT) this.down.add(engine);
  }

  /**
   * Takes the next engine. When the queue is empty and another round is due,
   * waits and lists the engines again. Undefined when no engine is left to try.
   */
  take(): Effect.Effect<PlacedServer | undefined, Refusal> {
    return Effect.gen({self: this}, function* () {
      if (this.rounds === 0) {
        yield* this.updateQueue();
      } else if (this.queue.length === 0 && (yield* this.isAnotherRoundDue())) {
        yield* Effect.sleep(ROUND_INTERVAL_MS);
        yield* this.updateQueue();
      }
      return this.queue.shift();
    });
  }

  /**
   * Returns the shortest expected wait for a free slot among the engines of the
   * last list that was not empty, in milliseconds; 0 if every list was empty.
   */
  getShortestWaitMs(): number {
    return this.shortestWaitMs;
  }

  /**
   * Returns whether the engines are to be listed again. An attempt that put no
   * load on an engine is treated as if the engine had no free slot: it does not
   * end the search. A request whose attempt a crash ended may run again as soon
   * as an engine has a free slot, so the engines are listed until the request's
   * deadline.
   */
  private isAnotherRoundDue(): Effect.Effect<boolean> {
    if (!this.hasPutLoad) return Effect.succeed(this.rounds < MAX_ROUNDS);
    if (!this.hasCrashed) return Effect.succeed(false);
    return Effect.map(
      Clock.currentTimeMillis,
      nowMs => this.deadline.computeRemainingMs(nowMs) > 0,
    );
  }

  private updateQueue(): Effect.Effect<void, Refusal> {
    this.rounds += 1;
    // After a failed attempt, a refusal by the listing is ignored: its outcome,
    // not-run, could be wrong for a request that may have run.
    const listed = this.hasFailed
      ? Effect.catch(this.listCandidates, () => Effect.succeed([]))
      : this.listCandidates;
    return Effect.map(listed, placed => {
      const others = placed.filter(({server}) => !this.down.has(server.id));
      this.queue = others.length > 0 ? others : placed;
      const waits = this.queue.map(({choice}) => choice.waitMs);
      if (waits.length > 0) this.shortestWaitMs = Math.min(...waits);
    });
  }
}
