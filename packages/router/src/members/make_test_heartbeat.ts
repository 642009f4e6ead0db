import type {DaemonIdentity} from '../model/daemon_identity.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';

/** Makes the identity of a daemon whose address names it. */
export function makeTestIdentity(
  id: string,
  availabilityZone: string,
): DaemonIdentity {
  const address = {host: id, port: 1};
  return {
    id,
    availabilityZone,
    callers: address,
    peers: address,
    heartbeats: address,
  };
}

/** Makes a heartbeat of a ready daemon without servers. */
export function makeTestHeartbeat(
  self: DaemonIdentity,
  configurationVersion: number,
  overrides: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    ...self,
    incarnation: 1,
    sequence: 1,
    state: DaemonState.READY,
    intervalMs: 200,
    isStoreReached: true,
    configurationVersion,
    backendsChange: -1,
    inFlight: {},
    isConfigurationServed: true,
    crashes: {},
    ...overrides,
  };
}
