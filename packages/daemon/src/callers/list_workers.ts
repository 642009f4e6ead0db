import {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import type {PlacementService} from '../placement/placement_service.js';
import type {ServiceJob} from './service_job.js';

/** Lists the workers to try for a call, in order of preference. */
export function listWorkers(
  placement: PlacementService,
  job: ServiceJob,
): Effect.Effect<BackendServer[]> {
  // Calls are independent of each other. The request id, passed in place of a
  // chat key, spreads them over the workers.
  return placement.listServers(job.service, job.requestId, undefined);
}
