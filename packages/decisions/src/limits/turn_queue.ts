import TinyQueue from 'tinyqueue';

/** Cost of a turn beside what its bytes cost, in bytes. */
const TURN_COST_BYTES = 1024;

/** A waiter in the order of its tag, then of its arrival. */
interface Entry<T> {
  readonly waiter: T;
  readonly tag: number;
  readonly sequence: number;
}

/**
 * Decides who is next of those that wait for a turn of the event loop, by
 * self-clocked fair queueing.
 *
 * The load is a crowd of connections that always have requests waiting. Each
 * gets the same share of the work. One that asks for less than its share, such
 * as an ordinary client, or that asks for little at a time is served before the
 * others, so that its delay hardly grows with the crowd.
 */
export class TurnQueue<T extends object> {
  private readonly entries = new TinyQueue<Entry<T>>([], compareEntries);
  /** Tag of each waiter's latest turn: the work that its share amounted to. */
  private readonly tags = new WeakMap<T, number>();
  private readonly waiting = new Set<T>();
  /** Tag of the latest turn of all. */
  private currentTag = 0;
  private sequence = 0;

  /**
   * Adds a waiter; no effect if it waits.
   *
   * @param bytes what it has to parse, in this turn or about
   */
  add(waiter: T, bytes: number): void {
    if (this.waiting.has(waiter)) return;
    this.waiting.add(waiter);
    const start = Math.max(this.currentTag, this.tags.get(waiter) ?? 0);
    const tag = start + TURN_COST_BYTES + bytes;
    this.tags.set(waiter, tag);
    this.sequence += 1;
    this.entries.push({waiter, tag, sequence: this.sequence});
  }

  /** Removes a waiter, if it waits. */
  remove(waiter: T): void {
    this.waiting.delete(waiter);
  }

  /** Counts those that wait. */
  countWaiting(): number {
    return this.waiting.size;
  }

  /** Removes and returns the next waiter; undefined if nobody waits. */
  takeNext(): T | undefined {
    for (;;) {
      const entry = this.entries.pop();
      if (entry === undefined) return undefined;
      // One that was removed is still among the entries.
      if (!this.waiting.delete(entry.waiter)) continue;
      this.currentTag = entry.tag;
      return entry.waiter;
    }
  }
}

function compareEntries<T>(a: Entry<T>, b: Entry<T>): number {
  return a.tag - b.tag || a.sequence - b.sequence;
}
