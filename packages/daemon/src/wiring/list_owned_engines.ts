import {ServiceKind, type BackendServer} from '@greengagecross/common';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {FleetView} from '../placement/fleet_view.js';

/**
 * Lists the engines that a daemon owns now. An owner counts the engine's
 * requests in flight. Empty without a configuration.
 */
export function listOwnedEngines(
  daemon: string,
  configuration: ConfigurationFollower,
  fleet: FleetView,
  nowMs: number,
): BackendServer[] {
  const services = configuration.getView()?.listServices() ?? [];
  return services
    .filter(service => service.kind === ServiceKind.ENGINE)
    .flatMap(service => service.backendServers)
    .filter(server => fleet.findOwner(server.id, nowMs).id === daemon);
}
