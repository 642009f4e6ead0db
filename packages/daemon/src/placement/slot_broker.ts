import {Clock, Effect} from 'effect';
import {Schema} from 'effect';
import type {Member} from '@greengagecross/common';
import type {SlotAuthority, EngineLedger} from '@greengagecross/decisions';
import {
  PeerMethod,
  SlotAnswerSchema,
  type AcquireSlot,
  type PeerClient,
} from '@greengagecross/peers';
import type {EngineIndex} from './engine_index.js';
import type {FleetView} from './fleet_view.js';
import type {Slot, SlotKeeper} from './slot_keeper.js';

const OWN_RETRY_MS = 20;
const REMOTE_RETRY_MS = 200;

/** Acquires slots from the daemons that count the engines' requests. */
export class SlotBroker {
  constructor(
    private readonly selfId: string,
    private readonly view: FleetView,
    private readonly index: EngineIndex,
    private readonly ledger: EngineLedger,
    private readonly authority: SlotAuthority,
    private readonly keeper: SlotKeeper,
    private readonly peers: PeerClient,
  ) {}

  /**
   * Acquires a slot, or gives undefined when the engine is at its bound and
   * stays there for `maxWaitMs`.
   */
  acquire(
    engine: string,
    slotId: string,
    maxWaitMs: number,
  ): Effect.Effect<Slot | undefined> {
    return Effect.gen({self: this}, function* () {
      const untilMs = (yield* Clock.currentTimeMillis) + maxWaitMs;
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const owner = this.view.findOwner(engine, nowMs);
        const request = {engine, slotId, holder: this.selfId};
        const isOwn = owner.id === this.selfId;
        const granted = isOwn
          ? yield* this.answerAcquire(request)
          : yield* this.askOwner(owner, request);
        if (granted) {
          const slot = {engine, slotId, owner, renewedAtMs: nowMs};
          this.keeper.add(slot);
          return slot;
        }
        const retryMs = isOwn ? OWN_RETRY_MS : REMOTE_RETRY_MS;
        if (nowMs + retryMs > untilMs) return undefined;
        yield* Effect.sleep(retryMs);
      }
    });
  }

  /** Releases a slot; a release that is lost is made good by the lease. */
  release(slot: Slot): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.keeper.remove(slot.slotId);
      return this.sendRelease(slot.owner, slot.engine, slot.slotId);
    });
  }

  /** Grants or refuses a slot of an engine that this daemon owns. */
  answerAcquire(request: AcquireSlot): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const group = this.index.findByEngine(request.engine, nowMs)?.group;
      if (group === undefined) return false;
      const snapshot = this.view.getSnapshot(nowMs);
      return this.authority.acquire(request, group, snapshot, nowMs);
    });
  }

  private askOwner(
    owner: Member,
    request: AcquireSlot,
  ): Effect.Effect<boolean> {
    return this.peers
      .send(
        owner.controlAddress,
        PeerMethod.ACQUIRE_SLOT,
        request,
        SlotAnswerSchema,
      )
      .pipe(
        Effect.map(answer => answer.granted),
        // The owner may have granted it all the same.
        Effect.catch(() =>
          Effect.as(
            this.sendRelease(owner, request.engine, request.slotId),
            false,
          ),
        ),
      );
  }

  private sendRelease(
    owner: Member,
    engine: string,
    slotId: string,
  ): Effect.Effect<void> {
    if (owner.id === this.selfId) {
      return Effect.sync(() => this.ledger.release(engine, slotId));
    }
    return this.peers
      .send(
        owner.controlAddress,
        PeerMethod.RELEASE_SLOT,
        {engine, slotId},
        Schema.Unknown,
      )
      .pipe(Effect.ignore, Effect.forkDetach, Effect.asVoid);
  }
}
