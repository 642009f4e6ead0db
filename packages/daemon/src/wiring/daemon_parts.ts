import {Clock, Effect} from 'effect';
import {HttpEngineClient, HttpServiceClient} from '@greengagecross/backend';
import {
  DEFAULT_TUNING,
  findRendezvousHome,
  TicketCodec,
  type DaemonSettings,
  type FleetKeys,
  type Tuning,
} from '@greengagecross/common';
import {
  computePollMs,
  EngineLedger,
  HomePlacement,
  MemberTable,
  RingNeighbours,
} from '@greengagecross/decisions';
import {HttpClient} from '@greengagecross/http';
import {PeerClient} from '@greengagecross/peers';
import {
  ConfigurationStore,
  HttpHostDirectory,
  HttpObjectStore,
  HttpTableService,
  PlatformCaller,
  type TableService,
} from '@greengagecross/platform';
import {ClaimBook} from '../claims/claim_book.js';
import {ClaimSweeper} from '../claims/claim_sweeper.js';
import {GroupCommit} from '../claims/group_commit.js';
import {ConfigurationFollower} from '../configuration/configuration_follower.js';
import {HostFollower} from '../hosts/host_follower.js';
import {LeavingBackends} from '../leaving/leaving_backends.js';
import {LeavingNews} from '../leaving/leaving_news.js';
import {MemberService} from '../members/member_service.js';
import {PlacementService} from '../placement/placement_service.js';
import {SlotBroker} from '../placement/slot_broker.js';

const FORGET_AFTER_MS = 60_000;
const MS_PER_SECOND = 1000;
/** Claim transactions a second of all daemons together. */
const FLEET_COMMITS_PER_SECOND = 300;

/** The long-lived parts of one daemon, each made once and passed on. */
export class DaemonParts {
  readonly tuning: Tuning;
  readonly controlClient = new HttpClient();
  readonly backendClient = new HttpClient();
  readonly ledger = new EngineLedger();
  readonly tickets: TicketCodec;
  readonly table: TableService;
  readonly commits: GroupCommit;
  readonly claims: ClaimBook;
  readonly sweeper: ClaimSweeper;
  readonly configuration: ConfigurationFollower;
  readonly hosts: HostFollower;
  readonly members: MemberService;
  readonly leaving: LeavingBackends;
  readonly leavingNews: LeavingNews;
  readonly broker: SlotBroker;
  readonly placement: PlacementService;
  readonly engines: HttpEngineClient;
  readonly workers: HttpServiceClient;

  constructor(
    readonly settings: DaemonSettings,
    readonly keys: FleetKeys,
    readonly startedAtMs: number,
  ) {
    this.tuning = {...DEFAULT_TUNING, ...settings.tuning};
    this.tickets = new TicketCodec(keys.ticket);
    const platform = this.makePlatformCaller();
    this.table = new HttpTableService(platform);
    this.commits = new GroupCommit(
      this.table,
      () =>
        (this.members.countLive() * MS_PER_SECOND) / FLEET_COMMITS_PER_SECOND,
    );
    this.claims = new ClaimBook(this.commits);
    this.sweeper = new ClaimSweeper(this.table, () => this.isSweeper());
    this.configuration = new ConfigurationFollower(
      new ConfigurationStore(this.table, new HttpObjectStore(platform)),
      this.tuning.configurationPollMs,
    );
    this.hosts = new HostFollower(new HttpHostDirectory(platform), () =>
      computePollMs(this.tuning.hostListPollMs, this.members.countRemembered()),
    );
    const peers = new PeerClient(
      this.controlClient,
      keys.peer[0] ?? '',
      this.tuning.peerTimeoutMs,
    );
    this.members = this.makeMembers(peers);
    this.leaving = new LeavingBackends(this.hosts);
    this.broker = new SlotBroker(
      settings.id,
      this.members,
      this.ledger,
      peers,
      this.configuration,
      this.leaving,
    );
    this.leavingNews = new LeavingNews(
      settings.id,
      this.leaving,
      this.broker,
      peers,
    );
    this.placement = new PlacementService(
      new HomePlacement(),
      this.broker,
      this.leaving,
      this.members,
    );
    const timeouts = {
      connectTimeoutMs: this.tuning.backendConnectTimeoutMs,
      silenceMs: this.tuning.backendSilenceMs,
    };
    const {backendClient} = this;
    const onLeaving = (id: string): void => this.leavingNews.onSaid(id);
    this.engines = new HttpEngineClient(backendClient, timeouts, onLeaving);
    this.workers = new HttpServiceClient(backendClient, timeouts, onLeaving);
  }

  /** Closes every outgoing connection. */
  close(): void {
    this.controlClient.close();
    this.backendClient.close();
  }

  private isSweeper(): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const live = this.members.listLive(nowMs).map(member => member.id);
      return findRendezvousHome('claim sweeper', live) === this.settings.id;
    });
  }

  private makePlatformCaller(): PlatformCaller {
    return new PlatformCaller(
      this.controlClient,
      this.settings.platform,
      this.tuning.platformTimeoutMs,
    );
  }

  private makeMembers(peers: PeerClient): MemberService {
    const {heartbeatMs} = this.tuning;
    const table = new MemberTable(this.settings.id, {
      forgetAfterMs: FORGET_AFTER_MS,
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
