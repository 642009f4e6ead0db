import type {CallerVerdict} from '../callers/caller_verdict.js';
import type {Fleet} from '../fleet/fleet.js';
import type {ControlBytes} from './control_traffic.js';
import type {RunObservations} from './make_account.js';
import type {SkewSampler} from './skew_sampler.js';

/** Reads the backend servers' records; the fleet must still be running. */
export async function readRunObservations(
  fleet: Fleet,
  verdicts: readonly CallerVerdict[],
  sampler: SkewSampler,
  controlBytes: ControlBytes,
): Promise<RunObservations> {
  const {engines, workers} = fleet.plan;
  return {
    verdicts,
    engineRecords: await Promise.all(engines.map(e => fleet.readRecord(e))),
    workerRecords: await Promise.all(workers.map(w => fleet.readRecord(w))),
    skew: sampler.computeSkew(),
    controlBytes,
  };
}
