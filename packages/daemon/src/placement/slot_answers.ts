import {Clock, Effect} from 'effect';
import {
  Admission,
  type EngineLedger,
  type SlotAuthority,
} from '@greengagecross/decisions';
import type {AcquireSlot, ReleaseSlot} from '@greengagecross/peers';
import type {CustomerShares} from '../limits/customer_shares.js';
import type {EngineIndex} from './engine_index.js';
import type {FleetView} from './fleet_view.js';

/** Longest time that one call waits at the engine's owner. */
export const MAX_HELD_MS = 1000;
const RETRY_MS = 20;

/** Answers who may use the engines that this daemon owns. */
export class SlotAnswers {
  /** Slots that are asked for and neither granted nor refused yet. */
  private readonly waiting = new Set<string>();

  constructor(
    private readonly view: FleetView,
    private readonly index: EngineIndex,
    private readonly ledger: EngineLedger,
    private readonly authority: SlotAuthority,
    private readonly shares: CustomerShares,
  ) {}

  /**
   * Grants a slot, or refuses it when the engine stays at its bound for as
   * long as the request waits and one call may.
   */
  answerAcquire(request: AcquireSlot): Effect.Effect<boolean> {
    const {slotId} = request;
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const waitMs = request.waitMs ?? 0;
      const heldUntilMs = startMs + Math.min(waitMs, MAX_HELD_MS);
      this.waiting.add(slotId);
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const leftMs = Math.max(0, startMs + waitMs - nowMs);
        if (this.request({...request, waitMs: leftMs}, nowMs)) return true;
        if (nowMs + RETRY_MS > heldUntilMs) return false;
        yield* Effect.sleep(RETRY_MS);
        // Its release came first: nobody would use the slot.
        if (!this.waiting.has(slotId)) return false;
      }
    }).pipe(Effect.ensuring(Effect.sync(() => this.waiting.delete(slotId))));
  }

  /** Takes a slot back, also one that is still waited for. */
  answerRelease({engine, slotId}: ReleaseSlot): Effect.Effect<void> {
    return Effect.sync(() => {
      this.waiting.delete(slotId);
      this.ledger.release(engine, slotId);
    });
  }

  private request(slot: AcquireSlot, nowMs: number): boolean {
    const group = this.index.findByEngine(slot.engine, nowMs)?.group;
    if (group === undefined) return false;
    const snapshot = this.view.getSnapshot(nowMs);
    const {waitMs, ...lease} = slot;
    const {authority} = this;
    const share = this.shares.find(lease.customer, group, nowMs);
    const answer = authority.acquire(
      lease,
      group,
      snapshot,
      nowMs,
      waitMs,
      share?.maxInFlightPerEngine,
    );
    return answer === Admission.GRANTED;
  }
}
