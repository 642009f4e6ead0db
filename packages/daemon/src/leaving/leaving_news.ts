import {Clock, Effect, Schema} from 'effect';
import {PeerMethod, type PeerClient} from '@greengagecross/peers';
import type {FleetView} from '../placement/fleet_view.js';
import type {LeavingBackends} from './leaving_backends.js';

const TELL_RETRIES = 2;

/** Brings a backend server's word that it leaves to the daemon that owns it. */
export class LeavingNews {
  constructor(
    private readonly selfId: string,
    private readonly leaving: LeavingBackends,
    private readonly fleet: FleetView,
    private readonly peers: PeerClient,
  ) {}

  /** Takes what a backend server said in a reply to this daemon. */
  onSaid(id: string): void {
    Effect.runFork(this.sendToOwner(id));
  }

  /** Takes what another daemon was told. */
  answer(id: string): Effect.Effect<{known: boolean}> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      this.leaving.record(id, nowMs, true);
      return {known: true};
    });
  }

  /** The owner grants the slots, so that no other daemon needs to know. */
  private sendToOwner(id: string): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const owner = this.fleet.findOwner(id, nowMs);
      const isOwner = owner.id === this.selfId;
      const isNews = this.leaving.record(id, nowMs, isOwner);
      if (isOwner || !isNews) return;
      const params = {backend: id};
      yield* this.peers
        .send(
          owner.controlAddress,
          PeerMethod.BACKEND_LEAVING,
          params,
          Schema.Unknown,
        )
        .pipe(Effect.retry({times: TELL_RETRIES}), Effect.ignore);
    });
  }
}
