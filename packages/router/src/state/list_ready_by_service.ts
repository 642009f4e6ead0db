import type {BackendServer} from '../model/backend_server.js';

/** Lists the servers that accept new requests by service. */
export function listReadyByService(
  servers: readonly BackendServer[],
): Map<string, BackendServer[]> {
  const byService = new Map<string, BackendServer[]>();
  for (const server of servers) {
    if (server.isDraining) continue;
    const others = byService.get(server.service) ?? [];
    others.push(server);
    byService.set(server.service, others);
  }
  return byService;
}
