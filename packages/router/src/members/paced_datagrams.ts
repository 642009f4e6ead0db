import type {Address} from '@greengagecross/common';

/** Datagrams sent at once; the next ones follow after PACE_INTERVAL_MS. */
export const PACE_COUNT = 5;
/**
 * Time between two groups of datagrams. Together they use up to 3 Mbit/s of a
 * link, while a heartbeat of 0.7 KB goes to 360 daemons within 0.8 s.
 */
export const PACE_INTERVAL_MS = 10;

/** One message to one address. */
export interface Datagram {
  readonly bytes: Buffer;
  readonly address: Address;
}

/**
 * Datagrams that wait to be sent, a few at a time. A newer message of a kind to
 * the same address replaces the one that waits.
 *
 * Answers the load of a fleet of many daemons on slow links: a heartbeat to all
 * of them at once fills the queue of the link, packets of streams are dropped,
 * and their events arrive late by the time until they are sent again.
 */
export class PacedDatagrams {
  private readonly waiting = new Map<string, Datagram>();

  /** Adds a message of a kind to one address. */
  add(kind: string, {bytes, address}: Datagram): void {
    const key = `${kind} ${address.host}:${address.port}`;
    this.waiting.set(key, {bytes, address});
  }

  /** Takes the datagrams that are sent next, in the order of their addition. */
  takeNext(): Datagram[] {
    const next: Datagram[] = [];
    for (const [key, datagram] of this.waiting) {
      if (next.length >= PACE_COUNT) break;
      this.waiting.delete(key);
      next.push(datagram);
    }
    return next;
  }

  /** Counts the datagrams that wait. */
  count(): number {
    return this.waiting.size;
  }
}
