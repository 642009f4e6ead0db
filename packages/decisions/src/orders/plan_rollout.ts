import type {EngineSight} from './engine_sight.js';
import {
  isOutOfWork,
  OrderStep,
  planStep,
  type DesiredEngine,
  type PlannedStep,
} from './plan_orders.js';

/** The next step of one engine. */
export interface EngineStep extends PlannedStep {
  readonly engine: string;
}

/**
 * Plans the next step of each engine of a service that was just looked at.
 *
 * At most `maxOutOfWork` engines are out of work at once. One that does not
 * answer counts as out of work, and no engine is drained before each was asked.
 */
export function planRollout(
  desired: DesiredEngine,
  sights: ReadonlyMap<string, EngineSight | undefined>,
  looked: ReadonlySet<string>,
  maxOutOfWork: number,
): EngineStep[] {
  const isWholeSeen = [...sights.values()].every(sight => sight !== undefined);
  let room = isWholeSeen ? maxOutOfWork - countOutOfWork(sights) : 0;
  const steps: EngineStep[] = [];
  for (const [engine, sight] of sights) {
    if (!looked.has(engine) || sight?.state === undefined) continue;
    if (sight.silentSinceMs !== undefined) continue;
    const next = planStep(desired, sight.state);
    if (next.step === OrderStep.DRAIN) {
      if (room <= 0) continue;
      room -= 1;
    }
    steps.push({engine, ...next});
  }
  return steps;
}

/** Counts engines that take no new work, or do not answer. */
export function countOutOfWork(
  sights: ReadonlyMap<string, EngineSight | undefined>,
): number {
  return [...sights.values()].filter(
    sight =>
      sight !== undefined &&
      (sight.silentSinceMs !== undefined ||
        sight.state === undefined ||
        isOutOfWork(OrderStep.NONE, sight.state)),
  ).length;
}
