import {
  hash32,
  SeededRandom,
  type FleetKeys,
  type Tuning,
} from '@greengagecross/common';
import {SuspectRegistry, TrialTable} from '@greengagecross/decisions';
import type {PeerCaller} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';
import {CrashDetector} from '../suspects/crash_detector.js';
import {SuspectCatchUp} from '../suspects/suspect_catch_up.js';
import {SuspectAnswers} from '../suspects/suspect_answers.js';
import type {SuspectDump} from '../suspects/suspect_dump.js';
import {SuspectGuard} from '../suspects/suspect_guard.js';
import {SuspectNews} from '../suspects/suspect_news.js';
import {ToldDaemons} from '../suspects/told_daemons.js';
import {TrialPermits} from '../suspects/trial_permits.js';
import {listConfigurationPeers} from './list_configuration_peers.js';

/** What keeps a request that crashes backend servers from crashing many. */
export class SuspectParts {
  readonly book: SuspectRegistry;
  readonly trials = new TrialTable();
  readonly news: SuspectNews;
  readonly catchUp: SuspectCatchUp;
  readonly guard: SuspectGuard;
  readonly answers: SuspectAnswers;

  constructor(
    selfId: string,
    tuning: Tuning,
    keys: FleetKeys,
    members: MemberService,
    hosts: HostFollower,
    peers: PeerCaller,
  ) {
    this.book = new SuspectRegistry(tuning.suspectKeepMs);
    this.news = new SuspectNews(
      this.book,
      new ToldDaemons(selfId, members, hosts),
      peers,
    );
    this.catchUp = new SuspectCatchUp(
      this.news,
      peers,
      nowMs =>
        listConfigurationPeers(selfId, members, hosts, nowMs).map(
          peer => peer.address,
        ),
      new SeededRandom(hash32(`suspects ${selfId}`)),
    );
    const permits = new TrialPermits(
      selfId,
      members,
      this.trials,
      this.book,
      peers,
    );
    this.guard = new SuspectGuard(
      keys.ticket[0] ?? '',
      this.book,
      this.news,
      this.catchUp,
      permits,
      new CrashDetector(tuning.backendConnectTimeoutMs),
    );
    this.answers = new SuspectAnswers(this.news, permits);
  }

  /** Describes all that is held. */
  describe(nowMs: number): SuspectDump {
    return {
      entries: this.book.list(nowMs),
      trials: this.trials.list(),
      untoldPeers: this.news.countUntoldPeers(),
      crashes: this.guard.countCrashes(),
      sentMessages: this.news.countMessages(),
    };
  }
}
