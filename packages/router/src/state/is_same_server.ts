import type {BackendServer} from '../model/backend_server.js';

/** Returns whether two entries of a backend server have the same contents. */
export function isSameServer(a: BackendServer, b: BackendServer): boolean {
  return (
    a.service === b.service &&
    a.address.host === b.address.host &&
    a.address.port === b.address.port &&
    a.availabilityZone === b.availabilityZone &&
    a.slots === b.slots &&
    a.isDraining === b.isDraining &&
    a.startedAtMs === b.startedAtMs
  );
}
