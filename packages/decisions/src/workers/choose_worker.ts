import type {ServerLoad} from './worker_load.js';

/** Latency assumed for a worker that has not replied yet. */
const ASSUMED_LATENCY_MS = 20;
/** Cost factor of a worker in another availability zone. */
const OTHER_ZONE_FACTOR = 1.1;
/**
 * Exponent of the success share: a worker that fails half of its requests
 * costs four times as much.
 */
const FAILURE_EXPONENT = 2;

/**
 * Chooses the worker expected to reply soonest. Meant for short requests to
 * workers that have few slots; some of the workers are slow or fail part of
 * their requests. Used by package `router`.
 *
 * Avoided workers are chosen only if all are avoided; undefined if `workers` is
 * empty.
 */
export function chooseWorker(
  workers: readonly ServerLoad[],
  availabilityZone: string,
): ServerLoad | undefined {
  let best: ServerLoad | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const worker of listUsable(workers)) {
    const cost = computeCost(worker, availabilityZone);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

function listUsable(workers: readonly ServerLoad[]): readonly ServerLoad[] {
  const usable = workers.filter(worker => !worker.isAvoided);
  return usable.length === 0 ? workers : usable;
}

function computeCost(worker: ServerLoad, availabilityZone: string): number {
  const latencyMs = worker.latencyMs || ASSUMED_LATENCY_MS;
  const queueRounds = 1 + worker.inFlight / Math.max(1, worker.slots);
  const success = Math.max(0.1, 1 - worker.failureShare);
  const isSameZone = worker.availabilityZone === availabilityZone;
  const zoneFactor = isSameZone ? 1 : OTHER_ZONE_FACTOR;
  return (latencyMs * queueRounds * zoneFactor) / success ** FAILURE_EXPONENT;
}
