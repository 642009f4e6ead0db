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
  type ReleaseSlot,
  type RenewSlots,
} from '@greengagecross/peers';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {CustomerShares} from '../limits/customer_shares.js';
import type {LeavingBackends} from '../leaving/leaving_backends.js';
import type {MemberService} from '../members/member_service.js';
import {EngineIndex} from './engine_index.js';
import {FleetView} from './fleet_view.js';
import {SlotAnswers} from './slot_answers.js';
import {SlotBroker} from './slot_broker.js';
import {SLOT_LEASE_MS, SlotKeeper} from './slot_keeper.js';

const ENGINE_COUNT = 3;
const IDS = ['d1', 'd2', 'd3'];

/** The parts of one daemon that deal with slots, and its view of the others. */
export interface SlotDaemon {
  readonly id: string;
  readonly ledger: EngineLedger;
  readonly keeper: SlotKeeper;
  readonly answers: SlotAnswers;
  readonly broker: SlotBroker;
  /** Ids of the daemons that it takes for live. */
  live: string[];
}

/** Calls that are lost between two daemons. */
export enum LostCall {
  REQUEST = 'request',
  REPLY = 'reply',
  /** The caller's side fails while the other still works on the call. */
  CUT = 'cut',
}

/** Three daemons' real slot code, joined by calls that can be lost. */
export class SlotFleetFake {
  readonly daemons = new Map<string, SlotDaemon>();
  /** What is lost of which method's calls. */
  readonly lost = new Map<PeerMethod, LostCall>();
  /** How often each method was called. */
  readonly calls = new Map<PeerMethod, number>();
  /** Owned by d1, and by d3 without d1. */
  readonly engine = findEngine();

  constructor(private readonly maxLoadMultiple: number) {
    for (const id of IDS) this.daemons.set(id, this.makeDaemon(id));
  }

  /** Gets a daemon that runs. */
  get(id: string): SlotDaemon {
    const daemon = this.daemons.get(id);
    if (daemon === undefined) throw new Error(`${id} does not run`);
    return daemon;
  }

  /** Removes a daemon; the others no longer take it for live. */
  remove(id: string): void {
    this.daemons.delete(id);
    for (const daemon of this.daemons.values()) {
      daemon.live = daemon.live.filter(other => other !== id);
    }
  }

  /** Puts requests on the two other engines, as d3 counts them. */
  addOtherLoad(requests: number, nowMs: number): void {
    for (const engine of ['other-0', 'other-1']) {
      for (let index = 0; index < requests; index += 1) {
        const slotId = `${engine} ${index}`;
        this.get('d3').ledger.renew({engine, slotId, holder: 'd3'}, nowMs);
      }
    }
  }

  /** Handles a call as the daemon at the address would. */
  handle(
    address: Address,
    method: PeerMethod,
    params: object,
  ): Effect.Effect<unknown, PeerError> {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    const failed = Effect.fail(new PeerError(method, address.host));
    const lost = this.lost.get(method);
    const daemon = this.daemons.get(address.host);
    if (daemon === undefined || lost === LostCall.REQUEST) return failed;
    const answer = answerCall(daemon, method, params);
    if (lost === LostCall.CUT) {
      return Effect.andThen(Effect.forkDetach(answer), failed);
    }
    return lost === LostCall.REPLY ? Effect.andThen(answer, failed) : answer;
  }

  private makeDaemon(id: string): SlotDaemon {
    const ledger = new EngineLedger(SLOT_LEASE_MS);
    const members = {
      getSelf: () => this.makeMember(id),
      listLive: () => this.get(id).live.map(other => this.makeMember(other)),
      listOthers: () =>
        this.get(id)
          .live.filter(other => other !== id)
          .map(other => this.makeMember(other)),
    } as unknown as MemberService;
    const view = new FleetView(members);
    const index = new EngineIndex(
      makeConfiguration(this.engine, this.maxLoadMultiple),
      {
        isLeaving: () => false,
      } as unknown as LeavingBackends,
    );
    const peers = new FakePeers(this);
    const keeper = new SlotKeeper(id, view, ledger, peers);
    const authority = new SlotAuthority(id, ledger);
    const shares = {find: () => undefined} as unknown as CustomerShares;
    const answers = new SlotAnswers(view, index, ledger, authority, shares);
    const broker = new SlotBroker(id, view, answers, keeper, peers);
    return {id, ledger, keeper, answers, broker, live: [...IDS]};
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

/** Calls that stay within the process. */
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
        daemon.answers.answerAcquire(params as AcquireSlot),
        granted => ({granted}),
      );
    case PeerMethod.RENEW_SLOTS:
      return daemon.keeper.answerRenewal(params as RenewSlots);
    default: {
      const {engine, slotId} = params as ReleaseSlot;
      return daemon.answers.answerRelease({engine, slotId});
    }
  }
}

function findEngine(): string {
  const all = new OwnerTable(IDS);
  const left = new OwnerTable(IDS.slice(1));
  for (let index = 0; ; index += 1) {
    const id = `engine-${index}`;
    if (all.find(id) === 'd1' && left.find(id) === 'd3') return id;
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
