import type {SeededRandom} from '@greengagecross/common';
import type {UploadBudget} from '@greengagecross/decisions';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import type {ConfigurationDocuments} from './configuration_documents.js';
import {
  MAX_REFERRALS,
  type ConfigurationDocument,
  type ConfigurationQuery,
  type ConfigurationResult,
  type ReferredPeer,
} from './configuration_message.js';
import {SendingTurns} from './sending_turns.js';

/** Maximum number of recorded receivers of a version. */
const MAX_RECEIVERS = 64;

interface Receiver extends ReferredPeer {
  /** When the document has probably arrived, on the monotonic clock. */
  readonly readyAtMs: number;
}

/**
 * Sends the active configuration to peers within a budget of bytes. Peers beyond
 * it are given turns, at this daemon or at those that are served before, so that
 * a version spreads as a tree and fills no link.
 */
export class ConfigurationSender {
  /** Daemons that were sent `version`, by id, oldest first. */
  private readonly receivers = new Map<string, Receiver>();
  private version = -1;
  private turns: SendingTurns | undefined;

  constructor(
    private readonly self: DaemonIdentity,
    private readonly documents: ConfigurationDocuments,
    private readonly budget: UploadBudget,
    private readonly random: SeededRandom,
    private readonly metrics: RouterMetrics,
  ) {}

  /** Answers a query; `nowMs` is a time on the monotonic clock. */
  answer(query: ConfigurationQuery, nowMs: number): ConfigurationResult {
    const document = this.documents.getActive();
    if (document === undefined || document.version <= query.version) return {};
    this.startVersion(document, nowMs);
    const waitMs = this.budget.computeWaitMs(nowMs);
    if (waitMs > 0) return this.refuse(query, waitMs, nowMs);
    const bytes = document.deflated.length;
    this.budget.take(bytes, nowMs);
    this.metrics.recordConfigurationSent(bytes);
    this.turns?.recordSent({id: query.id, address: query.address}, nowMs);
    this.addReceiver(query, nowMs + this.budget.computeDurationMs(bytes));
    return {document};
  }

  /** Forgets what is known of another version. */
  private startVersion(
    {version, deflated}: ConfigurationDocument,
    nowMs: number,
  ): void {
    if (version === this.version) return;
    this.version = version;
    this.receivers.clear();
    const {id, peers: address} = this.self;
    this.turns = new SendingTurns(
      {id, address},
      this.budget.computeDurationMs(deflated.length),
      nowMs + this.budget.computeWaitMs(nowMs),
    );
  }

  private refuse(
    {id, address}: ConfigurationQuery,
    retryAfterMs: number,
    nowMs: number,
  ): ConfigurationResult {
    this.metrics.recordConfigurationBusy();
    const {version} = this;
    const holders = this.chooseReferrals(id, nowMs);
    const turn = this.turns?.takeTurn({id, address}, nowMs);
    const busy = {version, retryAfterMs, holders};
    return {busy: turn === undefined ? busy : {...busy, turn}};
  }

  private addReceiver(
    {id, address}: ConfigurationQuery,
    readyAtMs: number,
  ): void {
    this.receivers.delete(id);
    this.receivers.set(id, {id, address, readyAtMs});
    if (this.receivers.size <= MAX_RECEIVERS) return;
    const [oldestId] = this.receivers.keys();
    if (oldestId !== undefined) this.receivers.delete(oldestId);
  }

  /** Chooses served daemons at random, so that their loads are alike. */
  private chooseReferrals(askingId: string, nowMs: number): ReferredPeer[] {
    const ready = [...this.receivers.values()].filter(
      ({id, readyAtMs}) => id !== askingId && readyAtMs <= nowMs,
    );
    const chosen: ReferredPeer[] = [];
    while (ready.length > 0 && chosen.length < MAX_REFERRALS) {
      const [receiver] = ready.splice(this.random.nextInt(ready.length), 1);
      if (receiver === undefined) break;
      chosen.push({id: receiver.id, address: receiver.address});
    }
    return chosen;
  }
}
