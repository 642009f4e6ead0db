import type {WorkerLoad} from './worker_load.js';

/** Latency assumed of a worker that has not answered yet, in milliseconds. */
const UNKNOWN_LATENCY_MS = 20;
/** A worker of another zone must be better by this factor. */
const OTHER_ZONE_FACTOR = 1.1;
/** Weight of failures: a worker that fails half looks four times as slow. */
const FAILURE_EXPONENT = 2;

/**
 * Chooses the worker expected to answer soonest, for short requests before
 * few slots where some workers are slow or fail part of what they get.
 */
export function chooseWorker(
  workers: readonly WorkerLoad[],
  availabilityZone: string,
): WorkerLoad | undefined {
  let best: WorkerLoad | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const worker of listUsable(workers)) {
    const cost = computeCost(worker, availabilityZone);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

function listUsable(workers: readonly WorkerLoad[]): readonly WorkerLoad[] {
  const usable = workers.filter(worker => !worker.isAvoided);
  return usable.length === 0 ? workers : usable;
}

function computeCost(worker: WorkerLoad, availabilityZone: string): number {
  const latencyMs = worker.latencyMs || UNKNOWN_LATENCY_MS;
  const rounds = 1 + worker.inFlight / Math.max(1, worker.slots);
  const success = Math.max(0.1, 1 - worker.failureShare);
  const isNear = worker.availabilityZone === availabilityZone;
  const zoneFactor = isNear ? 1 : OTHER_ZONE_FACTOR;
  return (latencyMs * rounds * zoneFactor) / success ** FAILURE_EXPONENT;
}
