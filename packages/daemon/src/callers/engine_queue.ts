import {Clock, Effect} from 'effect';
import {BackendFailure, isKnownNotRun} from '@greengagecross/backend';
import {AttemptCost, type RequestDeadline} from '@greengagecross/decisions';
import type {PlacedServer} from '../placement/placement_service.js';
import {computeAttemptCost} from './deadlines.js';
import type {Refusal} from './refusal.js';

/** Maximum number of times that engines are listed, unless one has crashed. */
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
  private hasCost = false;
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
    const hadNoCost = computeAttemptCost(failure) === AttemptCost.NONE;
    this.hasCost ||= !hadNoCost || !isKnownNotRun(failure);
    const isCrash = failure === BackendFailure.CRASHED;
    this.hasCrashed = this.hasCrashed || isCrash;
    if (isCrash || failure === BackendFailure.NOT_SENT) this.down.add(engine);
  }

  /**
   * Takes the next engine. When the queue is empty, waits and lists the engines
   * again as long as another round is due; undefined when none is left.
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
   * Gets the shortest expected wait for a free slot among the engines of the
   * last list that named any, in milliseconds; 0 when no list did.
   */
  getShortestWaitMs(): number {
    return this.shortestWaitMs;
  }

  /**
   * Tells whether the engines are to be listed again. Attempts that put no load
   * on an engine count like engines at their bound (no free slot). A request
   * whose attempt a crash ended may run again as soon as an engine has a free
   * slot, so the engines are listed until the request's deadline.
   */
  private isAnotherRoundDue(): Effect.Effect<boolean> {
    if (!this.hasCost) return Effect.succeed(this.rounds < MAX_ROUNDS);
    if (!this.hasCrashed) return Effect.succeed(false);
    return Effect.map(
      Clock.currentTimeMillis,
      nowMs => this.deadline.computeLeftMs(nowMs) > 0,
    );
  }

  private updateQueue(): Effect.Effect<void, Refusal> {
    this.rounds += 1;
    // A refusal is ignored after a failed attempt, as its outcome is not-run.
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
