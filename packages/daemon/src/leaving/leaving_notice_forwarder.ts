import {Clock, Effect, Schema} from 'effect';
import {PeerMethod, type PeerClient} from '@greengagecross/peers';
import type {FleetView} from '../placement/fleet_view.js';
import type {LeavingBackends} from './leaving_backends.js';

const SEND_RETRIES = 2;

/**
 * Forwards leaving notices of backend servers to the owners of those servers,
 * the daemons that count their requests.
 */
export class LeavingNoticeForwarder {
  constructor(
    private readonly selfId: string,
    private readonly leaving: LeavingBackends,
    private readonly fleet: FleetView,
    private readonly peers: PeerClient,
  ) {}

  /** Handles a notice that a backend server sent in a reply to this daemon. */
  onNotice(id: string): void {
    Effect.runFork(this.sendToOwner(id));
  }

  /** Records a notice that another daemon forwarded. */
  answerNotice(id: string): Effect.Effect<{known: boolean}> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      // The sender takes this daemon for the owner.
      this.leaving.record(id, nowMs, true);
      return {known: true};
    });
  }

  /**
   * The owner grants the server's slots, so no other daemon is notified. Failed
   * calls are retried twice, then ignored. A notice that repeats an unexpired
   * one of this daemon is not sent.
   */
  private sendToOwner(id: string): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const owner = this.fleet.findOwner(id, nowMs);
      const isOwner = owner.id === this.selfId;
      const isNew = this.leaving.record(id, nowMs, isOwner);
      if (isOwner || !isNew) return;
      const params = {backend: id};
      yield* this.peers
        .send(
          owner.controlAddress,
          PeerMethod.BACKEND_LEAVING,
          params,
          Schema.Unknown,
        )
        .pipe(Effect.retry({times: SEND_RETRIES}), Effect.ignore);
    });
  }
}
