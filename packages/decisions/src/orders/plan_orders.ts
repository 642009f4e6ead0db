/** What an engine should have loaded according to the configuration. */
export interface DesiredEngine {
  readonly modelVersion: string;
  readonly adapters: readonly string[];
  readonly role: string;
}

/** What an engine has loaded and is doing. */
export interface ActualEngine extends DesiredEngine {
  /** Model version that is being loaded; empty while none is. */
  readonly loadingVersion: string;
  /** Whether the engine accepts no new requests until it is told to resume. */
  readonly isDraining: boolean;
  /** Requests in flight on the engine. */
  readonly inFlight: number;
}

/**
 * The next step from an engine's actual state towards its desired state. An
 * order is a step that was sent to an engine.
 */
export enum OrderStep {
  NONE = 'none',
  /** A load or drain is in progress; plan again later. */
  WAIT = 'wait',
  DRAIN = 'drain',
  LOAD = 'load',
  ADD_ADAPTER = 'add-adapter',
  REMOVE_ADAPTER = 'remove-adapter',
  SET_ROLE = 'set-role',
  RESUME = 'resume',
}

/** A step and its argument. */
export interface PlannedStep {
  readonly step: OrderStep;
  /** Model version, adapter or role; empty for a step without an argument. */
  readonly value: string;
}

const NO_STEP: PlannedStep = {step: OrderStep.NONE, value: ''};

/**
 * Plans one engine's next step.
 *
 * Weights and role are changed, and adapters removed, only on a drained engine
 * (draining, with nothing in flight), so that no request is cut off. The engine
 * resumes only once it has the desired weights, adapters and role.
 */
export function planStep(
  desired: DesiredEngine,
  actual: ActualEngine,
): PlannedStep {
  if (actual.loadingVersion !== '') return {step: OrderStep.WAIT, value: ''};
  if (actual.modelVersion !== desired.modelVersion) {
    return planDrainedStep(actual, OrderStep.LOAD, desired.modelVersion);
  }
  const missing = desired.adapters.find(a => !actual.adapters.includes(a));
  if (missing !== undefined) {
    return {step: OrderStep.ADD_ADAPTER, value: missing};
  }
  const extra = actual.adapters.find(a => !desired.adapters.includes(a));
  if (extra !== undefined) {
    return planDrainedStep(actual, OrderStep.REMOVE_ADAPTER, extra);
  }
  if (actual.role !== desired.role) {
    return planDrainedStep(actual, OrderStep.SET_ROLE, desired.role);
  }
  return actual.isDraining ? {step: OrderStep.RESUME, value: ''} : NO_STEP;
}

/**
 * Plans a step that needs a drained engine: first the drain, then a wait until
 * nothing is in flight, then the step itself.
 */
function planDrainedStep(
  actual: ActualEngine,
  step: OrderStep,
  value: string,
): PlannedStep {
  if (!actual.isDraining) return {step: OrderStep.DRAIN, value: ''};
  if (actual.inFlight > 0) return {step: OrderStep.WAIT, value: ''};
  return {step, value};
}

/** Returns whether an engine is draining or the step begins to drain it. */
export function isOutOfService(step: OrderStep, actual: ActualEngine): boolean {
  return actual.isDraining || step === OrderStep.DRAIN;
}
