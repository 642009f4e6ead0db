import {Clock, Effect} from 'effect';
import {BackendFailure, isKnownNotRun} from '@greengagecross/backend';
import {AttemptCost, type RequestDeadline} from '@greengagecross/decisions';
import type {PlacedServer} from '../placement/placement_service.js';
import {computeAttemptCost} from './deadlines.js';
import type {Refusal} from './refusal.js';

/** Times that engines are chosen anew while none took the request. */
const MAX_ROUNDS = 5;
const ROUND_MS = 250;

/** Lists the engines to try for a request by the loads that are known now. */
export type ListPlaced = Effect.Effect<PlacedServer[], Refusal>;

/** The engines that one request has still to try. */
export class EngineQueue {
  private queue: PlacedServer[] = [];
  private rounds = 0;
  private hasFailed = false;
  /** Whether an engine was given work, or may have been. */
  private hasCost = false;
  private hasCrashed = false;
  private shortestWaitMs = 0;
  private readonly lost = new Set<string>();

  constructor(
    private readonly listPlaced: ListPlaced,
    private readonly deadline: RequestDeadline,
  ) {}

  /** Records how an attempt failed. */
  recordFailure(engine: string, failure: BackendFailure): void {
    this.hasFailed = true;
    const isFree = computeAttemptCost(failure) === AttemptCost.NONE;
    this.hasCost ||= !isFree || !isKnownNotRun(failure);
    const isCrash = failure === BackendFailure.CRASHED;
    this.hasCrashed = this.hasCrashed || isCrash;
    if (isCrash || failure === BackendFailure.NOT_SENT) this.lost.add(engine);
  }

  /** Takes the next engine, after a wait when none had room. */
  take(): Effect.Effect<PlacedServer | undefined, Refusal> {
    return Effect.gen({self: this}, function* () {
      if (this.rounds === 0) {
        yield* this.list();
      } else if (this.queue.length === 0 && (yield* this.isWorthWaiting())) {
        yield* Effect.sleep(ROUND_MS);
        yield* this.list();
      }
      return this.queue.shift();
    });
  }

  /** Gets when the first of the engines last listed is expected to have room. */
  getShortestWaitMs(): number {
    return this.shortestWaitMs;
  }

  /**
   * Refusals that gave no engine work count like engines at their bound. What
   * a crash cut short is run again as soon as there is room for it.
   */
  private isWorthWaiting(): Effect.Effect<boolean> {
    if (!this.hasCost) return Effect.succeed(this.rounds < MAX_ROUNDS);
    if (!this.hasCrashed) return Effect.succeed(false);
    return Effect.map(
      Clock.currentTimeMillis,
      nowMs => this.deadline.computeLeftMs(nowMs) > 0,
    );
  }

  private list(): Effect.Effect<void, Refusal> {
    this.rounds += 1;
    // A refusal that says not-run would be wrong after a failed attempt.
    const listed = this.hasFailed
      ? Effect.catch(this.listPlaced, () => Effect.succeed([]))
      : this.listPlaced;
    return Effect.map(listed, placed => {
      const others = placed.filter(({server}) => !this.lost.has(server.id));
      this.queue = others.length > 0 ? others : placed;
      const waits = this.queue.map(({choice}) => choice.waitMs);
      if (waits.length > 0) this.shortestWaitMs = Math.min(...waits);
    });
  }
}
