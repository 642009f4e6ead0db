import {Clock, Effect} from 'effect';
import {Schema} from 'effect';
import type {Member} from '@greengagecross/common';
import type {EngineLedger} from '@greengagecross/decisions';
import {
  PeerMethod,
  type PeerClient,
  type RenewSlots,
} from '@greengagecross/peers';
import type {FleetView} from './fleet_view.js';

/** How long a slot stands after its holder last renewed it. */
export const SLOT_LEASE_MS = 10_000;
const RENEW_MS = 3000;
const TICK_MS = 500;

/** Room for one request on one engine, until it is released. */
export interface Slot {
  readonly engine: string;
  readonly slotId: string;
  /** Daemon that counts it. */
  owner: Member;
  renewedAtMs: number;
}

/**
 * Renews the slots that this daemon holds, in one call for each owner, and
 * forgets those of other holders that were not renewed.
 *
 * After a change of owner a slot is told to the new one within a tick, so that
 * the new owner's count is right soon after the old one died.
 */
export class SlotKeeper {
  private readonly held = new Map<string, Slot>();

  constructor(
    private readonly selfId: string,
    private readonly view: FleetView,
    private readonly ledger: EngineLedger,
    private readonly peers: PeerClient,
  ) {}

  /** Adds a slot to those renewed. */
  add(slot: Slot): void {
    this.held.set(slot.slotId, slot);
  }

  /** Removes a slot from those renewed. */
  remove(slotId: string): void {
    this.held.delete(slotId);
  }

  /** Counts the slots held. */
  count(): number {
    return this.held.size;
  }

  /** Renews for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(this.sendRenewals(), Effect.sleep(TICK_MS)),
    );
  }

  /** Renews the slots that are due or whose owner has changed. */
  sendRenewals(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const due = this.takeDue(nowMs);
      this.ledger.removeExpired(nowMs);
      yield* Effect.forEach(
        due.values(),
        ({owner, renewal}) => this.send(owner, renewal),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  /** Answers another daemon's renewal. */
  answerRenewal(renewal: RenewSlots): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      for (const {engine, slotId} of renewal.slots) {
        this.ledger.renew({engine, slotId, holder: renewal.holder}, nowMs);
      }
    });
  }

  private takeDue(nowMs: number): Map<string, OwnerRenewal> {
    const due = new Map<string, OwnerRenewal>();
    for (const slot of this.held.values()) {
      const owner = this.view.findOwner(slot.engine, nowMs);
      const isMoved = owner.id !== slot.owner.id;
      if (!isMoved && nowMs - slot.renewedAtMs < RENEW_MS) continue;
      if (isMoved) this.releaseAt(slot);
      slot.owner = owner;
      slot.renewedAtMs = nowMs;
      const known = due.get(owner.id);
      const slots = [...(known?.renewal.slots ?? []), toMessage(slot)];
      due.set(owner.id, {owner, renewal: {holder: this.selfId, slots}});
    }
    return due;
  }

  /** Releases here what another daemon counts from now on. */
  private releaseAt(slot: Slot): void {
    if (slot.owner.id !== this.selfId) return;
    this.ledger.release(slot.engine, slot.slotId);
  }

  private send(owner: Member, renewal: RenewSlots): Effect.Effect<void> {
    if (owner.id === this.selfId) return this.answerRenewal(renewal);
    return this.peers
      .send(
        owner.controlAddress,
        PeerMethod.RENEW_SLOTS,
        renewal,
        Schema.Unknown,
      )
      .pipe(Effect.ignore);
  }
}

interface OwnerRenewal {
  readonly owner: Member;
  readonly renewal: RenewSlots;
}

function toMessage({engine, slotId}: Slot) {
  return {engine, slotId};
}
