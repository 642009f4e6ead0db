import {readSteadyMs} from '@greengagecross/common';
import type {CrashSuspects, ServerNotices} from '@greengagecross/decisions';
import {processBuffers, type HttpClient} from '@greengagecross/http';
import type {ColdServers} from '../calls/cold_servers.js';
import type {MemberService} from '../members/member_service.js';
import type {MemberView} from '../members/member_view.js';
import type {FleetState} from '../state/fleet_state.js';
import type {CrashGuard} from '../suspects/crash_guard.js';
import type {GaugeReader} from './router_metrics.js';

/** Parts of a daemon whose state is shown by gauges. */
export interface GaugeSources {
  readonly state: FleetState;
  readonly view: MemberView;
  readonly members: MemberService;
  readonly notices: ServerNotices;
  readonly cold: ColdServers;
  readonly suspects: CrashSuspects;
  readonly guard: CrashGuard;
  readonly backendClient: HttpClient;
}

/** Lists the gauges of a router daemon. */
export function listGauges(sources: GaugeSources): GaugeReader[] {
  const {state, view, members, notices, cold, suspects, guard, backendClient} =
    sources;
  const {configuration, backends, evacuated} = state;
  return [
    {
      name: 'greengagecross_configuration_version',
      help: 'Version of the active configuration; -1 before the first.',
      read: () => configuration.getVersion(),
    },
    {
      name: 'greengagecross_configuration_lag_seconds',
      help: 'Time since running peers first advertised a newer configuration; 0 if none does.',
      read: () => configuration.advertised.computeLagMs(readSteadyMs()) / 1000,
    },
    {
      name: 'greengagecross_backends_revision',
      help: 'Store revision of the backend server list; -1 before the first.',
      read: () => backends.getRevision(),
    },
    {
      name: 'greengagecross_store_era',
      help: 'Era of the store, which rises when it returns from an older copy.',
      read: () => state.getStoreEra(),
    },
    {
      name: 'greengagecross_zones_evacuated',
      help: 'Availability zones whose servers get no requests.',
      read: () => evacuated.count(),
    },
    {
      name: 'greengagecross_members_live',
      help: 'Daemons with a recent heartbeat, including this daemon.',
      read: () => view.listRunning(readSteadyMs()).length + 1,
    },
    {
      name: 'greengagecross_members_suspected',
      help: 'Daemons left out of the directory by reports of their watchers.',
      read: () => view.listSuspected(readSteadyMs()).length,
    },
    {
      name: 'greengagecross_loads_missing',
      help: '1 if collectors tell no loads, so that heartbeats carry them.',
      read: () => Number(members.isMissingLoads()),
    },
    {
      name: 'greengagecross_servers_paused',
      help: 'Servers that want no requests from this daemon now.',
      read: () => notices.countPaused(readSteadyMs()),
    },
    {
      name: 'greengagecross_servers_cold',
      help: 'Servers that count as cold and get a limited rate of requests.',
      read: () => cold.countCold(),
    },
    {
      name: 'greengagecross_prompt_parts_suspected',
      help: 'Prompt parts and requests under which a server crashed and none answered since.',
      read: () => suspects.countSuspects(),
    },
    {
      name: 'greengagecross_prompt_parts_refused',
      help: 'Prompt parts and requests that are refused since servers crash under them.',
      read: () => suspects.listCondemned().length,
    },
    {
      name: 'greengagecross_server_crashes_found',
      help: 'Crashes of servers under waiting requests that this daemon found.',
      read: () => guard.countCrashes(),
    },
    {
      name: 'greengagecross_buffered_bytes',
      help: 'Memory of bodies and events that are being read, in bytes.',
      read: () => processBuffers.countBytes(),
    },
    {
      name: 'greengagecross_buffers_evicted',
      help: 'Bodies and streams given up since all of them took too much memory.',
      read: () => processBuffers.countEvictions(),
    },
    {
      name: 'greengagecross_late_replies',
      help: 'Late copies of replies of backend servers that were discarded.',
      read: () => backendClient.pool.countLateReplies(),
    },
    {
      name: 'greengagecross_malformed_replies',
      help: 'Connections to backend servers closed for bytes that are no reply.',
      read: () => backendClient.pool.countMalformedReplies(),
    },
    {
      name: 'greengagecross_store_reached',
      help: '1 if the last call to the store succeeded, otherwise 0.',
      read: () => Number(state.isStoreReached()),
    },
  ];
}
