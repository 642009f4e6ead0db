import {Clock, Effect} from 'effect';
import {HttpEngineClient, HttpServiceClient} from '@greengagecross/backend';
import {
  DEFAULT_TUNING,
  findFirstByRendezvous,
  hash32,
  TicketCodec,
  type DaemonSettings,
  type FleetKeys,
  type Tuning,
} from '@greengagecross/common';
import {
  computePollMs,
  CostPlacement,
  DecisionLog,
  EngineLedger,
  MemberTable,
  RingNeighbours,
  PlacementCosts,
  ServiceTimes,
  SlotAuthority,
} from '@greengagecross/decisions';
import {HttpClient} from '@greengagecross/http';
import {PeerClient} from '@greengagecross/peers';
import {
  ConfigurationStore,
  HttpHostListSource,
  HttpObjectStore,
  HttpTableService,
  PlatformClient,
  type TableService,
} from '@greengagecross/platform';
import {ClaimStore} from '../claims/claim_store.js';
import {ClaimSweeper} from '../claims/claim_sweeper.js';
import {GroupCommit} from '../claims/group_commit.js';
import {ConfigurationFollower} from '../configuration/configuration_follower.js';
import {DaemonConfigurationPeers} from '../configuration/daemon_configuration_peers.js';
import {CustomerEngineSubsets} from '../limits/customer_engine_subsets.js';
import {EngineLimits} from '../limits/engine_limits.js';
import {HostFollower} from '../hosts/host_follower.js';
import {LeavingBackends} from '../leaving/leaving_backends.js';
import {LeavingNoticeForwarder} from '../leaving/leaving_notice_forwarder.js';
import type {OrderService} from '../orders/order_service.js';
import {MemberService} from '../members/member_service.js';
import {EngineIndex} from '../placement/engine_index.js';
import {FleetView} from '../placement/fleet_view.js';
import {PlacementExplainer} from '../placement/placement_explainer.js';
import {PlacementService} from '../placement/placement_service.js';
import {SlotRequestHandler} from '../placement/slot_request_handler.js';
import {SlotBroker} from '../placement/slot_broker.js';
import {listConfigurationPeers} from './list_configuration_peers.js';
import {listOwnedEngines} from './list_owned_engines.js';
import {makeOrderService} from './make_order_service.js';
import {SLOT_LEASE_MS, SlotRenewer} from '../placement/slot_renewer.js';
import {SuspectParts} from './suspect_parts.js';

const REMOVE_MEMBER_AFTER_MS = 60_000;
const MAX_LOGGED_DECISIONS = 5000;
const MS_PER_SECOND = 1000;
/** Maximum rate of commits of claims by all daemons together. */
const FLEET_COMMITS_PER_SECOND = 300;

/** The long-lived parts of one daemon, each made once. */
export class DaemonParts {
  readonly tuning: Tuning;
  readonly peerClient = new HttpClient();
  readonly platformClient = new HttpClient();
  readonly claimClient = new HttpClient();
  readonly backendClient = new HttpClient();
  readonly ledger = new EngineLedger(SLOT_LEASE_MS);
  readonly times = new ServiceTimes();
  readonly tickets: TicketCodec;
  readonly table: TableService;
  readonly commits: GroupCommit;
  readonly claims: ClaimStore;
  readonly sweeper: ClaimSweeper;
  readonly configuration: ConfigurationFollower;
  readonly hosts: HostFollower;
  readonly members: MemberService;
  readonly fleet: FleetView;
  readonly index: EngineIndex;
  readonly slots: SlotRenewer;
  readonly leaving: LeavingBackends;
  readonly leavingNotices: LeavingNoticeForwarder;
  readonly slotAnswers: SlotRequestHandler;
  readonly broker: SlotBroker;
  readonly placement: PlacementService;
  readonly explainer: PlacementExplainer;
  readonly engines: HttpEngineClient;
  readonly limits: EngineLimits;
  readonly workers: HttpServiceClient;
  readonly orders: OrderService;
  readonly suspects: SuspectParts;

  constructor(
    readonly settings: DaemonSettings,
    readonly keys: FleetKeys,
    readonly startedAtMs: number,
  ) {
    this.tuning = {...DEFAULT_TUNING, ...settings.tuning};
    this.tickets = new TicketCodec(keys.ticket);
    const platform = this.makePlatformCaller(this.platformClient);
    const claims = this.makePlatformCaller(this.claimClient);
    this.table = new HttpTableService(platform);
    const claimTable = new HttpTableService(claims);
    this.commits = new GroupCommit(
      claimTable,
      () =>
        (this.members.countLive() * MS_PER_SECOND) / FLEET_COMMITS_PER_SECOND,
    );
    this.claims = new ClaimStore(this.commits);
    this.sweeper = new ClaimSweeper(claimTable, () => this.isSweeper());
    const peers = new PeerClient(
      this.peerClient,
      keys.peer[0] ?? '',
      this.tuning.peerTimeoutMs,
    );
    this.configuration = this.makeConfiguration(platform, peers);
    this.hosts = new HostFollower(new HttpHostListSource(platform), () =>
      computePollMs(this.tuning.hostListPollMs, this.members.countAll()),
    );
    this.members = this.makeMembers(peers);
    this.fleet = new FleetView(this.members);
    this.suspects = new SuspectParts(
      settings.id,
      this.tuning,
      keys,
      this.members,
      this.hosts,
      peers,
    );
    this.leaving = new LeavingBackends(this.hosts);
    this.leavingNotices = new LeavingNoticeForwarder(
      settings.id,
      this.leaving,
      this.fleet,
      peers,
    );
    this.index = new EngineIndex(this.configuration, this.leaving);
    this.slots = new SlotRenewer(settings.id, this.fleet, this.ledger, peers);
    const authority = new SlotAuthority(settings.id, this.ledger, engine =>
      this.limits.getLimit(engine),
    );
    const shares = new CustomerEngineSubsets(this.configuration, this.fleet);
    this.slotAnswers = new SlotRequestHandler(
      this.fleet,
      this.index,
      this.ledger,
      authority,
      shares,
    );
    this.broker = new SlotBroker(
      settings.id,
      this.fleet,
      this.slotAnswers,
      this.slots,
      peers,
    );
    this.placement = new PlacementService(
      settings,
      new CostPlacement(() => new PlacementCosts(this.times.getTimes())),
      authority,
      this.index,
      this.fleet,
      new DecisionLog(MAX_LOGGED_DECISIONS),
      shares,
    );
    this.explainer = new PlacementExplainer(
      settings.id,
      this.placement,
      this.fleet,
      this.configuration,
      this.tickets,
    );
    const timeouts = {
      connectTimeoutMs: this.tuning.backendConnectTimeoutMs,
      silenceMs: this.tuning.backendSilenceMs,
    };
    const {backendClient} = this;
    const onLeaving = (id: string): void => this.leavingNotices.onNotice(id);
    this.engines = new HttpEngineClient(backendClient, timeouts, onLeaving);
    this.workers = new HttpServiceClient(backendClient, timeouts, onLeaving);
    this.limits = new EngineLimits(
      this.engines,
      this.tuning.loadPollMs,
      nowMs =>
        listOwnedEngines(settings.id, this.configuration, this.fleet, nowMs),
      engine => this.ledger.count(engine),
      onLeaving,
      (engine, statedAtMs) => this.leaving.remove(engine, statedAtMs),
    );
    this.orders = makeOrderService(this);
  }

  /** Closes all outgoing connections. */
  close(): void {
    this.peerClient.close();
    this.platformClient.close();
    this.claimClient.close();
    this.backendClient.close();
  }

  private isSweeper(): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const live = this.members.listLive(nowMs).map(member => member.id);
      return findFirstByRendezvous('claim sweeper', live) === this.settings.id;
    });
  }

  private makePlatformCaller(client: HttpClient): PlatformClient {
    return new PlatformClient(
      client,
      this.settings.platform,
      this.tuning.platformTimeoutMs,
    );
  }

  private makeConfiguration(
    platform: PlatformClient,
    peers: PeerClient,
  ): ConfigurationFollower {
    const {id} = this.settings;
    return new ConfigurationFollower(
      new ConfigurationStore(this.table, new HttpObjectStore(platform)),
      new DaemonConfigurationPeers(peers, nowMs =>
        listConfigurationPeers(id, this.members, this.hosts, nowMs),
      ),
      {
        pollMs: this.tuning.configurationPollMs,
        seed: hash32(id),
        countDaemons: () => this.members.countLive(),
        isHostListKnown: () => this.hosts.isCurrent(),
      },
    );
  }

  private makeMembers(peers: PeerClient): MemberService {
    const {heartbeatMs} = this.tuning;
    const table = new MemberTable(this.settings.id, {
      removeAfterMs: REMOVE_MEMBER_AFTER_MS,
      refuteMs: heartbeatMs,
    });
    return new MemberService(
      this.settings,
      this.startedAtMs,
      table,
      this.hosts,
      peers,
      heartbeatMs,
      () => ({
        configurationRevision: this.configuration.getView()?.revision ?? 0,
        engines: this.ledger.listCounts(),
      }),
      new RingNeighbours(),
    );
  }
}
