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
import {
  MAX_CALL_WAIT_MS,
  type SlotRequestHandler,
} from './slot_request_handler.js';
import type {Slot, SlotRenewer} from './slot_renewer.js';

/**
 * Shortest time between requests for a slot. An RPC that is refused early is
 * repeated because the owner may have changed.
 */
const RETRY_GAP_MS = 100;

/** Customer and priority class of the request that a slot is for. */
export interface SlotUser {
  readonly customer: string;
  readonly priority: PriorityClass;
}

/**
 * Acquires slots from the owners of the engines: the daemons that count the
 * engines' requests.
 */
export class SlotBroker {
  constructor(
    private readonly selfId: string,
    private readonly fleet: FleetView,
    private readonly requestHandler: SlotRequestHandler,
    private readonly renewer: SlotRenewer,
    private readonly peers: PeerClient,
  ) {}

  /**
   * Acquires a slot; undefined if none is granted within `maxWaitMs`, because
   * the engine stays at its bound (the most requests that it may run now), the
   * customer's limit on the engine is reached, or the owner is unreachable.
   *
   * @param user if absent, the slot counts for the customer '' and as a
   *     consultation
   */
  acquire(
    engine: string,
    slotId: string,
    maxWaitMs: number,
    user?: SlotUser,
  ): Effect.Effect<Slot | undefined> {
    return Effect.gen({self: this}, function* () {
      const giveUpAtMs = (yield* Clock.currentTimeMillis) + maxWaitMs;
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const owner = this.fleet.findOwner(engine, nowMs);
        const waitMs = Math.max(0, Math.ceil(giveUpAtMs - nowMs));
        const holder = this.selfId;
        const request = {engine, slotId, holder, waitMs, ...user};
        const isLocal = owner.id === this.selfId;
        const granted = isLocal
          ? yield* this.requestHandler.answerAcquire(request)
          : yield* this.askOwner(owner, request);
        if (granted) {
          const renewedAtMs = yield* Clock.currentTimeMillis;
          const slot = {engine, slotId, owner, renewedAtMs};
          this.renewer.add(slot);
          return slot;
        }
        const replyAtMs = yield* Clock.currentTimeMillis;
        if (replyAtMs + RETRY_GAP_MS > giveUpAtMs) return undefined;
        if (replyAtMs - nowMs < RETRY_GAP_MS) yield* Effect.sleep(RETRY_GAP_MS);
      }
    });
  }

  /** Releases a slot; if the RPC is lost, the slot's lease expires instead. */
  release(slot: Slot): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.renewer.remove(slot.slotId);
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
        this.peers.timeoutMs + Math.min(request.waitMs ?? 0, MAX_CALL_WAIT_MS),
      )
      .pipe(
        Effect.map(answer => answer.granted),
        // The owner may have granted the slot although the RPC failed.
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
      return this.requestHandler.answerRelease({engine, slotId});
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
