import type {EngineObservation} from './engine_observation.js';
import {
  isOutOfService,
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
 * Plans the next step of each engine in `readEngines`, the engines of a service
 * whose state was just read.
 *
 * At most `maxOutOfService` engines are out of service at once. An engine that
 * does not reply counts as out of service, and no engine is drained before
 * every engine was read once.
 *
 * @param observations each engine of the service; undefined if never read.
 */
export function planRollout(
  desired: DesiredEngine,
  observations: ReadonlyMap<string, EngineObservation | undefined>,
  readEngines: ReadonlySet<string>,
  maxOutOfService: number,
): EngineStep[] {
  const isEveryEngineObserved = [...observations.values()].every(
    observation => observation !== undefined,
  );
  let remainingDrains = isEveryEngineObserved
    ? maxOutOfService - countOutOfService(observations)
    : 0;
  const steps: EngineStep[] = [];
  for (const [engine, observation] of observations) {
    if (!readEngines.has(engine) || observation?.state === undefined) continue;
    if (observation.silentSinceMs !== undefined) continue;
    const next = planStep(desired, observation.state);
    if (next.step === OrderStep.DRAIN) {
      if (remainingDrains <= 0) continue;
      remainingDrains -= 1;
    }
    steps.push({engine, ...next});
  }
  return steps;
}

/** Counts engines that accept no new requests or do not reply. */
export function countOutOfService(
  observations: ReadonlyMap<string, EngineObservation | undefined>,
): number {
  return [...observations.values()].filter(
    observation =>
      observation !== undefined &&
      (observation.silentSinceMs !== undefined ||
        observation.state === undefined ||
        isOutOfService(OrderStep.NONE, observation.state)),
  ).length;
}
