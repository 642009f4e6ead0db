import {
  hashCustomerKey,
  PlacementPreference,
  PriorityClass,
  type Address,
  type BackendServer,
  type Tuning,
} from '@greengagecross/common';
import {HostRole, HostState, type Host} from '@greengagecross/platform';
import type {Answers} from '@greengagecross/questionnaire';
import type {EngineProfile} from '../backends/engine_profile.js';
import {findFreePorts} from './free_ports.js';

const HOST = '127.0.0.1';
const REGION = 'centro';
const ZONES = ['centro-a', 'centro-b', 'centro-c', 'centro-d'];
const CUSTOMER_LIMIT = 200;

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
  const customers = Array.from({length: size.customers}, (unused, index) => ({
    id: `customer-${index + 1}`,
    key: `key-of-customer-${index + 1}`,
  }));
  return {
    size,
    platform,
    daemons,
    engines,
    workers,
    customers,
    answers: makeAnswers(size, engines, workers, customers),
    hosts: [
      ...daemons.map(makeEntryHost),
      ...[...engines, ...workers].map(makeBackendHost),
    ],
  };
}

function chooseZone(index: number): string {
  return ZONES[index % ZONES.length] ?? '';
}

function makeAnswers(
  size: FleetSize,
  engines: readonly BackendServer[],
  workers: readonly BackendServer[],
  customers: readonly CustomerPlan[],
): Answers {
  return {
    deployment: 'Velo Compartido Laboratorio',
    engines: [
      {
        name: PlannedService.ASSISTANT,
        mattersMore: size.preference ?? PlacementPreference.REUSE,
        whoWaits: PriorityClass.CONSULTATION,
        checksOrders: true,
        longestWaitSeconds: 60,
        servers: engines,
      },
    ],
    plainServices: [
      {
        name: PlannedService.BOOKING,
        whoWaits: PriorityClass.INTERACTIVE,
        mayNotBeRepeated: ['/reservations'],
        longestWaitSeconds: 10,
        servers: workers,
      },
    ],
    customers: customers.map(customer => ({
      name: customer.id,
      keyHashes: [hashCustomerKey(customer.key)],
      services: [PlannedService.ASSISTANT, PlannedService.BOOKING],
      atMostAtOnce: CUSTOMER_LIMIT,
    })),
  };
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
