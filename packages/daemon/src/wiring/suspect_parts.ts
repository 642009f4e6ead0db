import {
  hash32,
  SeededRandom,
  type FleetKeys,
  type Tuning,
} from '@greengagecross/common';
import {
  CrashSuspects,
  SuspectRegistry,
  TrialTable,
} from '@greengagecross/decisions';
import type {PeerRpc} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';
import {ChatTexts} from '../suspects/chat_texts.js';
import {CrashDetector} from '../suspects/crash_detector.js';
import {SuspectCatchUp} from '../suspects/suspect_catch_up.js';
import {SuspectAnswers} from '../suspects/suspect_answers.js';
import type {SuspectDump} from '../suspects/suspect_dump.js';
import type {RequestGuard} from '../suspects/request_guard.js';
import {SharedTextGuard} from '../suspects/shared_text_guard.js';
import {SuspectGuard} from '../suspects/suspect_guard.js';
import {SuspectBroadcaster} from '../suspects/suspect_broadcaster.js';
import {SuspectRecipients} from '../suspects/suspect_recipients.js';
import {TextReports} from '../suspects/text_reports.js';
import {TrialPermits} from '../suspects/trial_permits.js';
import {TrialVerdicts} from '../suspects/trial_verdicts.js';
import {listConfigurationPeers} from './list_configuration_peers.js';

/** The parts that limit how many backend servers a request can crash. */
export class SuspectParts {
  readonly registry: SuspectRegistry;
  readonly trials = new TrialTable();
  readonly broadcaster: SuspectBroadcaster;
  readonly catchUp: SuspectCatchUp;
  readonly guard: RequestGuard;
  private readonly textSuspects = new CrashSuspects();
  private readonly wholeRequests: SuspectGuard;
  readonly answers: SuspectAnswers;

  constructor(
    selfId: string,
    tuning: Tuning,
    keys: FleetKeys,
    members: MemberService,
    hosts: HostFollower,
    peers: PeerRpc,
  ) {
    this.registry = new SuspectRegistry(tuning.suspectKeepMs);
    const recipients = new SuspectRecipients(selfId, members, hosts);
    const texts = new TextReports(selfId, this.textSuspects, recipients, peers);
    this.broadcaster = new SuspectBroadcaster(this.registry, recipients, peers);
    this.catchUp = new SuspectCatchUp(
      this.broadcaster,
      peers,
      nowMs =>
        listConfigurationPeers(selfId, members, hosts, nowMs).map(
          peer => peer.address,
        ),
      new SeededRandom(hash32(`suspects ${selfId}`)),
      texts,
    );
    const permits = new TrialPermits(
      selfId,
      members,
      this.trials,
      this.registry,
      peers,
    );
    const key = keys.ticket[0] ?? '';
    const chatTexts = new ChatTexts(key);
    this.wholeRequests = new SuspectGuard(
      key,
      this.registry,
      this.broadcaster,
      this.catchUp,
      permits,
      new CrashDetector(tuning.backendConnectTimeoutMs),
      new TrialVerdicts(this.textSuspects, chatTexts),
    );
    this.guard = new SharedTextGuard(
      this.wholeRequests,
      chatTexts,
      this.textSuspects,
      texts,
    );
    this.answers = new SuspectAnswers(this.broadcaster, permits, texts);
  }

  /** Describes the state of suspects and trials for operators. */
  describe(nowMs: number): SuspectDump {
    return {
      entries: this.registry.list(nowMs),
      trials: this.trials.list(),
      untoldPeers: this.broadcaster.countUnconfirmedPeers(),
      crashes: this.wholeRequests.countCrashedRequests(),
      sentMessages: this.broadcaster.countMessages(),
      refusedTexts: this.textSuspects.listCondemned().length,
    };
  }
}
