import {Clock, Effect} from 'effect';
import {
  Admission,
  type EngineLedger,
  type SlotAuthority,
} from '@greengagecross/decisions';
import type {AcquireSlot, SlotReference} from '@greengagecross/peers';
import type {CustomerEngineSubsets} from '../limits/customer_engine_subsets.js';
import type {EngineIndex} from './engine_index.js';
import type {FleetView} from './fleet_view.js';

/** Longest time that one RPC waits for a slot at the engine's owner. */
export const MAX_CALL_WAIT_MS = 1000;
/** Time between tries to get a slot while an RPC waits for it. */
const RETRY_INTERVAL_MS = 20;

/**
 * Handles requests for slots of the engines that this daemon owns. A slot is the
 * right to run one request on an engine; the owner counts the slots.
 */
export class SlotRequestHandler {
  /** Ids of requested slots that are neither granted nor refused yet. */
  private readonly pendingSlotIds = new Set<string>();

  constructor(
    private readonly fleet: FleetView,
    private readonly index: EngineIndex,
    private readonly ledger: EngineLedger,
    private readonly authority: SlotAuthority,
    private readonly subsets: CustomerEngineSubsets,
  ) {}

  /**
   * Grants a slot and returns true. Returns false if the slot cannot be granted
   * within the request's wait time or the longest wait of one RPC, whichever
   * is shorter, for example because the engine stays at its bound (the most
   * requests that it may run now).
   */
  answerAcquire(request: AcquireSlot): Effect.Effect<boolean> {
    const {slotId} = request;
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const waitMs = request.waitMs ?? 0;
      const callEndMs = startMs + Math.min(waitMs, MAX_CALL_WAIT_MS);
      this.pendingSlotIds.add(slotId);
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const remainingMs = Math.max(0, startMs + waitMs - nowMs);
        if (this.acquire({...request, waitMs: remainingMs}, nowMs)) return true;
        if (nowMs + RETRY_INTERVAL_MS > callEndMs) return false;
        yield* Effect.sleep(RETRY_INTERVAL_MS);
        // Released while it was pending: the slot would not be used.
        if (!this.pendingSlotIds.has(slotId)) return false;
      }
    }).pipe(
      Effect.ensuring(Effect.sync(() => this.pendingSlotIds.delete(slotId))),
    );
  }

  /** Releases a slot, or cancels the request for it while it is pending. */
  answerRelease({engine, slotId}: SlotReference): Effect.Effect<void> {
    return Effect.sync(() => {
      this.pendingSlotIds.delete(slotId);
      this.ledger.release(engine, slotId);
    });
  }

  private acquire(request: AcquireSlot, nowMs: number): boolean {
    const group = this.index.findByEngine(request.engine, nowMs)?.group;
    if (group === undefined) return false;
    const snapshot = this.fleet.getSnapshot(nowMs);
    const {waitMs, ...lease} = request;
    const {authority} = this;
    const subset = this.subsets.find(lease.customer, group, nowMs);
    const admission = authority.acquire(
      lease,
      group,
      snapshot,
      nowMs,
      waitMs,
      subset?.maxInFlightPerEngine,
    );
    return admission === Admission.GRANTED;
  }
}
