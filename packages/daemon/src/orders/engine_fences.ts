import {FencingSupport} from '@greengagecross/common';
import {
  OrderStep,
  type EngineObservation,
  type EngineStep,
} from '@greengagecross/decisions';
import type {OrderedService} from './ordered_service.js';

/**
 * Lets every engine that checks fencing numbers meet a new holder's number,
 * also one that needs no change, so that it refuses late orders from then on.
 */
export class EngineFences {
  private readonly met = new Set<string>();
  private fencingNumber: number | undefined;

  /** Plans an order without effect for each engine that has not met it. */
  plan(
    service: OrderedService,
    fencingNumber: number | undefined,
    sights: ReadonlyMap<string, EngineObservation | undefined>,
    looked: ReadonlySet<string>,
  ): EngineStep[] {
    if (service.fencing !== FencingSupport.ENFORCED) return [];
    this.update(fencingNumber);
    return [...looked]
      .filter(engine => !this.met.has(engine))
      .filter(engine => isWorking(sights.get(engine)))
      .map(engine => ({engine, step: OrderStep.RESUME, value: ''}));
  }

  /** Records that an engine answered an order with a number. */
  add(engine: string, fencingNumber: number): void {
    this.update(fencingNumber);
    this.met.add(engine);
  }

  private update(fencingNumber: number | undefined): void {
    if (fencingNumber === this.fencingNumber) return;
    this.fencingNumber = fencingNumber;
    this.met.clear();
  }
}

function isWorking(sight: EngineObservation | undefined): boolean {
  if (sight?.state === undefined || sight.silentSinceMs !== undefined) {
    return false;
  }
  return !sight.state.isDraining;
}
