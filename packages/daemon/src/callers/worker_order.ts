import {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import type {PlacementService} from '../placement/placement_service.js';
import type {ServiceJob} from './service_job.js';

/** Lists the workers to try for a call, best first. */
export function listWorkers(
  placement: PlacementService,
  job: ServiceJob,
): Effect.Effect<BackendServer[]> {
  // Each call stands alone, so its id spreads it over the workers.
  return placement.listServers(job.service, job.requestId, undefined);
}
