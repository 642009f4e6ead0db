import {PriorityClass} from '@greengagecross/common';
import type {EngineOccupancy} from './engine_occupancy.js';

const TIME_CONSTANT_MS = 10_000;
/** Standard deviations of a Poisson count that are kept free above its mean. */
const HEADROOM_DEVIATIONS = 2;

/** Classes from the most urgent on. */
export const CLASS_ORDER: readonly PriorityClass[] = [
  PriorityClass.INTERACTIVE,
  PriorityClass.CONSULTATION,
  PriorityClass.BACKGROUND,
];

/** Lists the classes that are more urgent than one. */
export function listMoreUrgent(
  priority: PriorityClass,
): readonly PriorityClass[] {
  return CLASS_ORDER.slice(0, CLASS_ORDER.indexOf(priority));
}

/** Estimates how many requests of a class are in flight on one engine. */
export class ClassDemand {
  private readonly means = new Map<PriorityClass, number>();
  private updatedAtMs = 0;

  /** Updates the running means with the counts that held until now. */
  update(occupancy: EngineOccupancy, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const kept = Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    for (const priority of CLASS_ORDER) {
      const mean = this.means.get(priority) ?? 0;
      const count = occupancy.countOfClass(priority);
      this.means.set(priority, mean * kept + count * (1 - kept));
    }
    this.updatedAtMs = nowMs;
  }

  /** Computes the room that a class leaves free for more urgent ones. */
  computeReserve(
    priority: PriorityClass,
    occupancy: EngineOccupancy,
    limit: number,
  ): number {
    const urgent = listMoreUrgent(priority);
    const mean = urgent.reduce((sum, c) => sum + (this.means.get(c) ?? 0), 0);
    if (mean < 1 / limit) return 0;
    const wanted = Math.ceil(mean + HEADROOM_DEVIATIONS * Math.sqrt(mean));
    const reserve = Math.min(wanted, Math.floor(limit / 2));
    const filled = urgent.reduce(
      (sum, c) => sum + occupancy.countOfClass(c),
      0,
    );
    return Math.max(0, reserve - filled);
  }
}
