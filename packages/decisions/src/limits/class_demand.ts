import {PriorityClass} from '@greengagecross/common';
import type {EngineOccupancy} from './engine_occupancy.js';

const AVERAGING_TIME_CONSTANT_MS = 10_000;
/**
 * The reserve is the mean plus this many standard deviations (of a Poisson
 * count, the square root of the mean).
 */
const RESERVE_DEVIATIONS = 2;

/** All priority classes, the most urgent first. */
export const CLASSES_BY_URGENCY: readonly PriorityClass[] = [
  PriorityClass.INTERACTIVE,
  PriorityClass.CONSULTATION,
  PriorityClass.BACKGROUND,
];

/** Lists the classes that are more urgent than the given class. */
export function listMoreUrgentClasses(
  priority: PriorityClass,
): readonly PriorityClass[] {
  return CLASSES_BY_URGENCY.slice(0, CLASSES_BY_URGENCY.indexOf(priority));
}

/** Moving averages of the requests in flight on one engine, by class. */
export class ClassDemand {
  private readonly meanInFlight = new Map<PriorityClass, number>();
  private updatedAtMs = 0;

  /**
   * Updates the averages as if the current counts had held since the last
   * update.
   */
  update(occupancy: EngineOccupancy, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    const decay = Math.exp(-elapsedMs / AVERAGING_TIME_CONSTANT_MS);
    for (const priority of CLASSES_BY_URGENCY) {
      const mean = this.meanInFlight.get(priority) ?? 0;
      const count = occupancy.countOfClass(priority);
      this.meanInFlight.set(priority, mean * decay + count * (1 - decay));
    }
    this.updatedAtMs = nowMs;
  }

  /**
   * Computes the slots that a class must leave free for more urgent classes.
   *
   * The reserve is at most half of the limit, and 0 while the urgent classes
   * have a mean below 1 / `limit` requests. Slots that the more urgent classes
   * already use are subtracted from the reserve.
   */
  computeReserve(
    priority: PriorityClass,
    occupancy: EngineOccupancy,
    limit: number,
  ): number {
    const urgent = listMoreUrgentClasses(priority);
    const mean = urgent.reduce(
      (sum, c) => sum + (this.meanInFlight.get(c) ?? 0),
      0,
    );
    if (mean < 1 / limit) return 0;
    const target = Math.ceil(mean + RESERVE_DEVIATIONS * Math.sqrt(mean));
    const reserve = Math.min(target, Math.floor(limit / 2));
    const urgentInFlight = urgent.reduce(
      (sum, c) => sum + occupancy.countOfClass(c),
      0,
    );
    return Math.max(0, reserve - urgentInFlight);
  }
}
