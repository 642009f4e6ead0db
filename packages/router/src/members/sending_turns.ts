import type {ReferredPeer, SendingTurn} from './configuration_message.js';

/** Time for a document to be sent on besides its transfer: calls and decoding. */
const HANDOVER_MS = 50;
/** Turns further ahead are not given: what happens until then is not known. */
const MAX_AHEAD_MS = 2000;
const MAX_SENDERS = 512;

interface Sender {
  readonly peer: ReferredPeer;
  /** When it can begin to send the next document, on the monotonic clock. */
  freeAtMs: number;
}

/**
 * Gives daemons that ask for the same document turns at the daemons that hold it
 * or will hold it by then. Each of them then asks once more instead of all of
 * them asking every holder whenever one may be free.
 */
export class SendingTurns {
  private readonly senders = new Map<string, Sender>();

  /**
   * @param self the daemon that gives the turns
   * @param durationMs time in which a document is sent
   * @param freeAtMs when `self` can send the first, on the monotonic clock
   */
  constructor(
    private readonly self: ReferredPeer,
    private readonly durationMs: number,
    freeAtMs: number,
  ) {
    this.senders.set(self.id, {peer: self, freeAtMs});
  }

  /** Records that `self` sends a document; `nowMs` is on the monotonic clock. */
  recordSent(receiver: ReferredPeer, nowMs: number): void {
    const sender = this.senders.get(this.self.id);
    // A receiver that had a turn was recorded with it.
    if (sender === undefined || this.senders.has(receiver.id)) return;
    this.addReceiver(sender, receiver, nowMs);
  }

  /**
   * Gives the earliest turn; undefined if it would be too late. A daemon that
   * asks again has missed its turn, or has restarted, and counts as a sender only
   * after its new turn. `nowMs` is a time on the monotonic clock.
   */
  takeTurn(asking: ReferredPeer, nowMs: number): SendingTurn | undefined {
    this.senders.delete(asking.id);
    if (this.senders.size >= MAX_SENDERS) return undefined;
    const [first] = [...this.senders.values()].sort(
      (left, right) => left.freeAtMs - right.freeAtMs,
    );
    if (first === undefined) return undefined;
    const afterMs = Math.max(0, Math.ceil(first.freeAtMs - nowMs));
    if (afterMs > MAX_AHEAD_MS) return undefined;
    this.addReceiver(first, asking, nowMs);
    return {peer: first.peer, afterMs};
  }

  private addReceiver(
    sender: Sender,
    receiver: ReferredPeer,
    nowMs: number,
  ): void {
    sender.freeAtMs = Math.max(nowMs, sender.freeAtMs) + this.durationMs;
    const freeAtMs = sender.freeAtMs + HANDOVER_MS;
    this.senders.set(receiver.id, {peer: receiver, freeAtMs});
  }
}
