import type {
  Address,
  BackendServer,
  PlacementPreference,
  Tuning,
} from '@greengagecross/common';
import {HostRole, HostState, type Host} from '@greengagecross/platform';
import type {Answers} from '@greengagecross/questionnaire';
import {findFreePorts} from '@greengagecross/http';
import type {EngineProfile} from '../backends/engine_profile.js';
import {
  Deployment,
  listCustomerNames,
  makePlannedAnswers,
  readFixture,
} from './plan_answers.js';

const HOST = '127.0.0.1';
const REGION = 'centro';
const ZONES = ['centro-a', 'centro-b', 'centro-c', 'centro-d'];

/** Sizes of a fleet on this machine. */
export interface FleetSize {
  readonly daemons: number;
  readonly engines: number;
  readonly workers: number;
  readonly customers: number;
  readonly profile?: Partial<EngineProfile>;
  readonly tuning?: Partial<Tuning>;
  readonly preference?: PlacementPreference;
}

/** Today's size: what each of the deployments runs. */
export const TODAY: FleetSize = {
  daemons: 5,
  engines: 13,
  workers: 4,
  customers: 10,
};

/** A daemon's place in a plan. */
export interface DaemonPlan {
  readonly id: string;
  readonly zone: string;
  readonly caller: Address;
  readonly control: Address;
}

/** A customer with the key that its callers send. */
export interface CustomerPlan {
  readonly id: string;
  readonly key: string;
}

/** Names, addresses and answers of a fleet before it is started. */
export interface FleetPlan {
  readonly size: FleetSize;
  readonly platform: Address;
  readonly daemons: readonly DaemonPlan[];
  readonly engines: readonly BackendServer[];
  readonly workers: readonly BackendServer[];
  readonly customers: readonly CustomerPlan[];
  readonly answers: Answers;
  readonly hosts: readonly Host[];
}

/** Names of the planned services. */
export enum PlannedService {
  ASSISTANT = 'assistant',
  BOOKING = 'booking',
}

/** Plans a fleet on free ports of this machine. */
export async function planFleet(size: FleetSize): Promise<FleetPlan> {
  const ports = await findFreePorts(
    1 + size.daemons * 2 + size.engines + size.workers,
  );
  const takeAddress = (): Address => ({host: HOST, port: ports.pop() ?? 0});
  const platform = takeAddress();
  const daemons = Array.from({length: size.daemons}, (unused, index) => ({
    id: `entry-${index + 1}`,
    zone: chooseZone(index),
    caller: takeAddress(),
    control: takeAddress(),
  }));
  const planServers = (prefix: string, count: number): BackendServer[] =>
    Array.from({length: count}, (unused, index) => ({
      id: `${prefix}-${index + 1}`,
      ...takeAddress(),
      availabilityZone: chooseZone(index),
    }));
  const engines = planServers('engine', size.engines);
  const workers = planServers('worker', size.workers);
  const fixture = readFixture(Deployment.VELO_COMPARTIDO);
  const customers = listCustomerNames(fixture, size.customers).map(id => ({
    id,
    key: `key-of-${id}`,
  }));
  return {
    size,
    platform,
    daemons,
    engines,
    workers,
    customers,
    answers: makePlannedAnswers(fixture, {
      preference: size.preference,
      engines,
      workers,
      customers,
    }),
    hosts: [
      ...daemons.map(makeEntryHost),
      ...[...engines, ...workers].map(makeBackendHost),
    ],
  };
}

function chooseZone(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

function makeEntryHost(daemon: DaemonPlan): Host {
  return {
    id: daemon.id,
    role: HostRole.ENTRY,
    state: HostState.LIVE,
    region: REGION,
    availabilityZone: daemon.zone,
    host: daemon.caller.host,
    port: daemon.caller.port,
    controlPort: daemon.control.port,
  };
}

function makeBackendHost(server: BackendServer): Host {
  return {
    id: server.id,
    role: HostRole.BACKEND,
    state: HostState.LIVE,
    region: REGION,
    availabilityZone: server.availabilityZone,
    host: server.host,
    port: server.port,
    controlPort: 0,
  };
}
