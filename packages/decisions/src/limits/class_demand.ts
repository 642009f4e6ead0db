import {PriorityClass} from '@greengagecross/common';

const TIME_CONSTANT_MS = 10_000;
/** Standard deviations of a Poisson count that are kept free above its mean. */
const HEADROOM_DEVIATIONS = 2;

/** Classes from the most urgent on. */
export const CLASS_ORDER: readonly PriorityClass[] = [
  PriorityClass.INTERACTIVE,
  PriorityClass.CONSULTATION,
  PriorityClass.BACKGROUND,
];

/** Estimates how many requests of a class are in flight on one engine. */
export class ClassDemand {
  private readonly means = new Map<PriorityClass, number>();
  private updatedAtMs = 0;

  /** Updates the running means with the counts that held until now. */
  update(counts: ReadonlyMap<PriorityClass, number>, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const kept = Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    for (const priority of CLASS_ORDER) {
      const mean = this.means.get(priority) ?? 0;
      const count = counts.get(priority) ?? 0;
      this.means.set(priority, mean * kept + count * (1 - kept));
    }
    this.updatedAtMs = nowMs;
  }

  /** Computes the room that a class leaves free for more urgent ones. */
  computeReserve(priority: PriorityClass, limit: number): number {
    const urgent = CLASS_ORDER.slice(0, CLASS_ORDER.indexOf(priority));
    const mean = urgent.reduce((sum, c) => sum + (this.means.get(c) ?? 0), 0);
    if (mean === 0) return 0;
    const wanted = Math.ceil(mean + HEADROOM_DEVIATIONS * Math.sqrt(mean));
    return Math.min(wanted, Math.floor(limit / 2));
  }
}
