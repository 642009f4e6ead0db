import {FencingSupport} from '@greengagecross/common';
import {
  OrderStep,
  type EngineObservation,
  type EngineStep,
} from '@greengagecross/decisions';
import type {OrderedService} from './ordered_service.js';

/**
 * Sends the fencing number of a new lease holder to every engine that checks
 * fencing numbers, including engines that need no change. An engine that has
 * received the number refuses delayed orders with lower numbers.
 */
export class EngineFences {
  /** Engines that accepted or refused an order with the current number. */
  private readonly answeredEngines = new Set<string>();
  private fencingNumber: number | undefined;

  /**
   * Plans a RESUME order, which changes nothing, for each engine that answered
   * this round's read, is not draining (it may be loading) and has neither
   * accepted nor refused an order with this number.
   */
  plan(
    service: OrderedService,
    fencingNumber: number | undefined,
    observations: ReadonlyMap<string, EngineObservation | undefined>,
    readEngines: ReadonlySet<string>,
  ): EngineStep[] {
    if (service.fencing !== FencingSupport.ENFORCED) return [];
    this.update(fencingNumber);
    return [...readEngines]
      .filter(engine => !this.answeredEngines.has(engine))
      .filter(engine => isNotDraining(observations.get(engine)))
      .map(engine => ({engine, step: OrderStep.RESUME, value: ''}));
  }

  /** Records that an engine accepted or refused an order with this number. */
  add(engine: string, fencingNumber: number): void {
    this.update(fencingNumber);
    this.answeredEngines.add(engine);
  }

  private update(fencingNumber: number | undefined): void {
    if (fencingNumber === this.fencingNumber) return;
    this.fencingNumber = fencingNumber;
    this.answeredEngines.clear();
  }
}

/** Returns whether an engine answered its last read and is not draining. */
function isNotDraining(observation: EngineObservation | undefined): boolean {
  if (
    observation?.state === undefined ||
    observation.silentSinceMs !== undefined
  ) {
    return false;
  }
  return !observation.state.isDraining;
}
