import {Effect, type Schema} from 'effect';
import {
  FencingSupport,
  MemberState,
  PlacementPreference,
  PriorityClass,
  ServiceKind,
  type Address,
  type Member,
  type Service,
} from '@greengagecross/common';
import {
  EngineLedger,
  OwnerTable,
  SlotAuthority,
} from '@greengagecross/decisions';
import {
  PeerClient,
  PeerError,
  PeerMethod,
  type AcquireSlot,
  type SlotReference,
  type RenewSlots,
} from '@greengagecross/peers';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {CustomerEngineSubsets} from '../limits/customer_engine_subsets.js';
import type {LeavingBackends} from '../leaving/leaving_backends.js';
import type {MemberService} from '../members/member_service.js';
import {EngineIndex} from './engine_index.js';
import {FleetView} from './fleet_view.js';
import {SlotRequestHandler} from './slot_request_handler.js';
import {SlotBroker} from './slot_broker.js';
import {SLOT_LEASE_MS, SlotRenewer} from './slot_renewer.js';

const ENGINE_COUNT = 3;
const DAEMON_IDS = ['d1', 'd2', 'd3'];

/** Slot components of one daemon, and the daemons that it considers live. */
export interface SlotDaemon {
  readonly id: string;
  readonly ledger: EngineLedger;
  readonly renewer: SlotRenewer;
  readonly requestHandler: SlotRequestHandler;
  readonly broker: SlotBroker;
  /** Ids of the daemons on its list of live daemons, its own included. */
  liveIds: string[];
}

/** How an RPC between two daemons is lost. */
export enum Loss {
  REQUEST = 'request',
  REPLY = 'reply',
  /** The RPC fails at its sender while the receiver still handles it. */
  CUT_OFF = 'cut',
}

/** Three daemons with real slot components; RPCs between them may be lost. */
export class SlotFleetFake {
  readonly daemons = new Map<string, SlotDaemon>();
  /** How RPCs of a method are lost; absent for methods that work. */
  readonly losses = new Map<PeerMethod, Loss>();
  /** Number of RPCs by method; absent means none. */
  readonly callCounts = new Map<PeerMethod, number>();
  /** Id of an engine owned by d1, or by d3 if d1 is not live. */
  readonly engine = findEngine();

  constructor(private readonly maxLoadMultiple: number) {
    for (const id of DAEMON_IDS) this.daemons.set(id, this.makeDaemon(id));
  }

  /** Returns a running daemon; throws if it was removed. */
  getDaemon(id: string): SlotDaemon {
    const daemon = this.daemons.get(id);
    if (daemon === undefined) throw new Error(`${id} does not run`);
    return daemon;
  }

  /** Removes a daemon, also from the other daemons' lists of live daemons. */
  remove(id: string): void {
    this.daemons.delete(id);
    for (const daemon of this.daemons.values()) {
      daemon.liveIds = daemon.liveIds.filter(other => other !== id);
    }
  }

  /** Adds requests to the two other engines, counted by d3. */
  addOtherLoad(requests: number, nowMs: number): void {
    for (const engine of ['other-0', 'other-1']) {
      for (let index = 0; index < requests; index += 1) {
        const slotId = `${engine} ${index}`;
        this.getDaemon('d3').ledger.renew(
          {engine, slotId, holder: 'd3'},
          nowMs,
        );
      }
    }
  }

  /** Handles an RPC with the daemon at the address; fails if it is lost. */
  handle(
    address: Address,
    method: PeerMethod,
    params: object,
  ): Effect.Effect<unknown, PeerError> {
    this.callCounts.set(method, (this.callCounts.get(method) ?? 0) + 1);
    const failed = Effect.fail(new PeerError(method, address.host));
    const lost = this.losses.get(method);
    const daemon = this.daemons.get(address.host);
    if (daemon === undefined || lost === Loss.REQUEST) return failed;
    const answer = answerCall(daemon, method, params);
    if (lost === Loss.CUT_OFF) {
      return Effect.andThen(Effect.forkDetach(answer), failed);
    }
    return lost === Loss.REPLY ? Effect.andThen(answer, failed) : answer;
  }

  private makeDaemon(id: string): SlotDaemon {
    const ledger = new EngineLedger(SLOT_LEASE_MS);
    const members = {
      getSelf: () => this.makeMember(id),
      listLive: () =>
        this.getDaemon(id).liveIds.map(other => this.makeMember(other)),
      listReachable: () =>
        this.getDaemon(id)
          .liveIds.filter(other => other !== id)
          .map(other => this.makeMember(other)),
    } as unknown as MemberService;
    const fleet = new FleetView(members);
    const index = new EngineIndex(
      makeConfiguration(this.engine, this.maxLoadMultiple),
      {
        isLeaving: () => false,
      } as unknown as LeavingBackends,
    );
    const peers = new FakePeers(this);
    const renewer = new SlotRenewer(id, fleet, ledger, peers);
    const authority = new SlotAuthority(id, ledger);
    const subsets = {find: () => undefined} as unknown as CustomerEngineSubsets;
    const requestHandler = new SlotRequestHandler(
      fleet,
      index,
      ledger,
      authority,
      subsets,
    );
    const broker = new SlotBroker(id, fleet, requestHandler, renewer, peers);
    return {
      id,
      ledger,
      renewer,
      requestHandler,
      broker,
      liveIds: [...DAEMON_IDS],
    };
  }

  private makeMember(id: string): Member {
    const ledger = this.daemons.get(id)?.ledger;
    const address = {host: id, port: 1};
    return {
      id,
      state: MemberState.LIVE,
      region: 'region',
      availabilityZone: 'zone',
      callerAddress: address,
      controlAddress: address,
      engines: ledger?.listCounts() ?? [],
    } as unknown as Member;
  }
}

/** Peer client that calls the daemons of the fake fleet in this process. */
class FakePeers extends PeerClient {
  constructor(private readonly fleet: SlotFleetFake) {
    super(undefined as never, '', 0);
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
  ): Effect.Effect<S['Type'], PeerError> {
    return this.fleet.handle(address, method, params) as Effect.Effect<
      S['Type'],
      PeerError
    >;
  }
}

function answerCall(
  daemon: SlotDaemon,
  method: PeerMethod,
  params: object,
): Effect.Effect<unknown> {
  switch (method) {
    case PeerMethod.ACQUIRE_SLOT:
      return Effect.map(
        daemon.requestHandler.answerAcquire(params as AcquireSlot),
        granted => ({granted}),
      );
    case PeerMethod.RENEW_SLOTS:
      return daemon.renewer.answerRenewal(params as RenewSlots);
    default: {
      const {engine, slotId} = params as SlotReference;
      return daemon.requestHandler.answerRelease({engine, slotId});
    }
  }
}

function findEngine(): string {
  const all = new OwnerTable(DAEMON_IDS);
  const withoutD1 = new OwnerTable(DAEMON_IDS.slice(1));
  for (let index = 0; ; index += 1) {
    const id = `engine-${index}`;
    if (all.find(id) === 'd1' && withoutD1.find(id) === 'd3') return id;
  }
}

function makeConfiguration(
  engine: string,
  maxLoadMultiple: number,
): ConfigurationFollower {
  const ids = [engine, ...Array.from({length: ENGINE_COUNT - 1}, makeOtherId)];
  const service: Service = {
    name: 'model',
    kind: ServiceKind.ENGINE,
    backendServers: ids.map(id => ({
      id,
      host: '127.0.0.1',
      port: 1,
      availabilityZone: 'zone',
    })),
    placement: {preference: PlacementPreference.REUSE, maxLoadMultiple},
    fencing: FencingSupport.ENFORCED,
    nonRepeatablePaths: [],
    priority: PriorityClass.CONSULTATION,
    deadlineMs: 1000,
  } as unknown as Service;
  const view = {listServices: () => [service]};
  return {getView: () => view} as unknown as ConfigurationFollower;
}

function makeOtherId(unused: unknown, index: number): string {
  return `other-${index}`;
}
