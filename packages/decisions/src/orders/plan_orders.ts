/** What a configuration wants an engine to have loaded. */
export interface DesiredEngine {
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** What an engine has loaded and does. */
export interface ActualEngine extends DesiredEngine {
  readonly loadingVersion: string;
  readonly isDraining: boolean;
  readonly inFlight: number;
}

/** The next step towards what is wanted. */
export enum OrderStep {
  NONE = 'none',
  /** Something is under way; look again later. */
  WAIT = 'wait',
  DRAIN = 'drain',
  LOAD = 'load',
  ADD_ADAPTER = 'add-adapter',
  REMOVE_ADAPTER = 'remove-adapter',
  SET_ROLE = 'set-role',
  RESUME = 'resume',
}

/** A step with its version, adapter or role; empty where it needs none. */
export interface PlannedStep {
  readonly step: OrderStep;
  readonly value: string;
}

const NOTHING: PlannedStep = {step: OrderStep.NONE, value: ''};

/**
 * Plans one engine's next step. Weights and role change, and adapters go, only
 * once it was drained and nothing is in flight, so that no request is cut; it
 * takes work again only once all is there.
 */
export function planStep(
  desired: DesiredEngine,
  actual: ActualEngine,
): PlannedStep {
  if (actual.loadingVersion !== '') return {step: OrderStep.WAIT, value: ''};
  if (actual.modelVersion !== desired.modelVersion) {
    return planIdle(actual, OrderStep.LOAD, desired.modelVersion);
  }
  const missing = desired.adapters.find(a => !actual.adapters.includes(a));
  if (missing !== undefined) {
    return {step: OrderStep.ADD_ADAPTER, value: missing};
  }
  const extra = actual.adapters.find(a => !desired.adapters.includes(a));
  if (extra !== undefined) {
    return planIdle(actual, OrderStep.REMOVE_ADAPTER, extra);
  }
  if (actual.role !== desired.role) {
    return planIdle(actual, OrderStep.SET_ROLE, desired.role);
  }
  return actual.isDraining ? {step: OrderStep.RESUME, value: ''} : NOTHING;
}

/** Plans a step that an engine may take only with nothing in flight. */
function planIdle(
  actual: ActualEngine,
  step: OrderStep,
  value: string,
): PlannedStep {
  if (!actual.isDraining) return {step: OrderStep.DRAIN, value: ''};
  if (actual.inFlight > 0) return {step: OrderStep.WAIT, value: ''};
  return {step, value};
}

/** Tells whether a step begins or continues to take an engine out of work. */
export function isOutOfWork(step: OrderStep, actual: ActualEngine): boolean {
  return actual.isDraining || step === OrderStep.DRAIN;
}
