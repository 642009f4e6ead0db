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

/** A slot's lease expires this long after its holder last renewed it. */
export const SLOT_LEASE_MS = 10_000;
/** Time after which a holder renews a slot. */
const RENEW_AFTER_MS = 3000;
/** Time between checks for slots that are due. */
const CHECK_INTERVAL_MS = 500;

/** The right to run one request on an engine, held until it is released. */
export interface Slot {
  readonly engine: string;
  readonly slotId: string;
  /** Daemon that counts the slot. */
  owner: Member;
  /**
   * When a renewal was last sent, in ms since the epoch; at first, when the
   * slot was granted. Failed renewals count too.
   */
  renewedAtMs: number;
}

/**
 * Renews the slots that this daemon holds, in one RPC for each owner, and
 * removes expired slots of the engines that this daemon owns.
 *
 * After a change of owner a slot is reported to the new owner at the next check,
 * so that the new owner's count is correct soon after the previous owner
 * crashed.
 */
export class SlotRenewer {
  /** By slot id. */
  private readonly heldSlots = new Map<string, Slot>();

  constructor(
    private readonly selfId: string,
    private readonly fleet: FleetView,
    private readonly ledger: EngineLedger,
    private readonly peers: PeerClient,
  ) {}

  /** Adds a slot that is to be renewed. */
  add(slot: Slot): void {
    this.heldSlots.set(slot.slotId, slot);
  }

  /** Removes a slot, which is then no longer renewed. */
  remove(slotId: string): void {
    this.heldSlots.delete(slotId);
  }

  /** Counts the slots that this daemon holds. */
  count(): number {
    return this.heldSlots.size;
  }

  /** Sends due renewals repeatedly and never returns. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(this.sendRenewals(), Effect.sleep(CHECK_INTERVAL_MS)),
    );
  }

  /** Renews slots that are due or have a new owner; failed RPCs are ignored. */
  sendRenewals(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const due = this.takeDueRenewals(nowMs);
      this.ledger.removeExpired(nowMs);
      yield* Effect.forEach(
        due.values(),
        ({owner, renewal}) => this.sendRenewal(owner, renewal),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  /**
   * Renews a holder's slots in this daemon's ledger. Adds the slots that the
   * ledger lacks, for example after a change of owner. The holder may be this
   * daemon.
   */
  answerRenewal(renewal: RenewSlots): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      for (const {engine, slotId} of renewal.slots) {
        this.ledger.renew({engine, slotId, holder: renewal.holder}, nowMs);
      }
    });
  }

  /**
   * Returns the due renewals by id of the owner. Marks their slots as renewed,
   * and releases those that another daemon now owns in this daemon's ledger.
   */
  private takeDueRenewals(nowMs: number): Map<string, OwnerRenewal> {
    const due = new Map<string, OwnerRenewal>();
    for (const slot of this.heldSlots.values()) {
      const owner = this.fleet.findOwner(slot.engine, nowMs);
      const hasNewOwner = owner.id !== slot.owner.id;
      if (!hasNewOwner && nowMs - slot.renewedAtMs < RENEW_AFTER_MS) continue;
      if (hasNewOwner) this.releaseLocally(slot);
      slot.owner = owner;
      slot.renewedAtMs = nowMs;
      const existing = due.get(owner.id);
      const slots = [...(existing?.renewal.slots ?? []), toMessage(slot)];
      due.set(owner.id, {owner, renewal: {holder: this.selfId, slots}});
    }
    return due;
  }

  /** Releases a slot in this daemon's ledger when another owner counts it. */
  private releaseLocally(slot: Slot): void {
    if (slot.owner.id !== this.selfId) return;
    this.ledger.release(slot.engine, slot.slotId);
  }

  private sendRenewal(owner: Member, renewal: RenewSlots): Effect.Effect<void> {
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
