import {Clock, Effect} from 'effect';
import {Schema} from 'effect';
import type {Member, PriorityClass} from '@greengagecross/common';
import {
  PeerMethod,
  SlotAnswerSchema,
  type AcquireSlot,
  type PeerClient,
} from '@greengagecross/peers';
import type {FleetView} from './fleet_view.js';
import {MAX_HELD_MS, type SlotAnswers} from './slot_answers.js';
import type {Slot, SlotKeeper} from './slot_keeper.js';

/** Rest after a refusal that came early: the owner may have changed. */
const RETRY_MS = 100;

/** Whose request a slot is for. */
export interface SlotSubject {
  readonly customer: string;
  readonly priority: PriorityClass;
}

/** Acquires slots from the daemons that count the engines' requests. */
export class SlotBroker {
  constructor(
    private readonly selfId: string,
    private readonly view: FleetView,
    private readonly answers: SlotAnswers,
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
    subject?: SlotSubject,
  ): Effect.Effect<Slot | undefined> {
    return Effect.gen({self: this}, function* () {
      const untilMs = (yield* Clock.currentTimeMillis) + maxWaitMs;
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const owner = this.view.findOwner(engine, nowMs);
        const waitMs = Math.max(0, Math.ceil(untilMs - nowMs));
        const holder = this.selfId;
        const request = {engine, slotId, holder, waitMs, ...subject};
        const isOwn = owner.id === this.selfId;
        const granted = isOwn
          ? yield* this.answers.answerAcquire(request)
          : yield* this.askOwner(owner, request);
        if (granted) {
          const renewedAtMs = yield* Clock.currentTimeMillis;
          const slot = {engine, slotId, owner, renewedAtMs};
          this.keeper.add(slot);
          return slot;
        }
        const endedMs = yield* Clock.currentTimeMillis;
        if (endedMs + RETRY_MS > untilMs) return undefined;
        if (endedMs - nowMs < RETRY_MS) yield* Effect.sleep(RETRY_MS);
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
        this.peers.timeoutMs + Math.min(request.waitMs ?? 0, MAX_HELD_MS),
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
      return this.answers.answerRelease({engine, slotId});
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
