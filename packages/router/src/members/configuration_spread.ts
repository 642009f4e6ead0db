import {Effect, ManagedRuntime, Schema} from 'effect';
import {TestClock} from 'effect/testing';
import {hash32, SeededRandom, type Address} from '@greengagecross/common';
import {UploadBudget} from '@greengagecross/decisions';
import {PeerError, PeerRpc, type PeerMethod} from '@greengagecross/peers';
import {RouterMetrics} from '../metrics/router_metrics.js';
import {CallKind} from '../model/call_kind.js';
import {DEFAULT_CALLER_LIMITS} from '../model/caller_limits.js';
import type {Route} from '../model/route.js';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import {FleetStateSource} from '../ports/fleet_state_source.js';
import {FleetState} from '../state/fleet_state.js';
import {ConfigurationCatchUp} from './configuration_catch_up.js';
import {ConfigurationDocuments} from './configuration_documents.js';
import type {ConfigurationQuery} from './configuration_message.js';
import {ConfigurationSender} from './configuration_sender.js';
import {makeTestHeartbeat, makeTestIdentity} from './make_test_heartbeat.js';
import {StateCatchUp} from './state_catch_up.js';

const ZONES = 4;
const LATENCY_MS = 5;
const MESSAGE_BYTES = 500;

/** A store that a daemon reads once; it gives nothing newer. */
export class CountedSource extends FleetStateSource {
  reads = 0;
  isFollower = false;
  isReplyArriving = false;

  override run(): Effect.Effect<never> {
    return Effect.never;
  }

  override setFollowing(): void {}

  override isFollowing(): boolean {
    return this.isFollower;
  }

  override isReceiving(): boolean {
    return this.isReplyArriving;
  }

  override readConfiguration(): Effect.Effect<void> {
    return Effect.sync(() => {
      this.reads += 1;
    });
  }
}

/** Makes a configuration whose routes have random names. */
export function makeTestConfiguration(
  version: number,
  routes: number,
): RoutingConfiguration {
  return {
    version,
    routes: Array.from({length: routes}, (_, at) => makeRoute(at)),
    services: ['service'],
    limits: DEFAULT_CALLER_LIMITS,
    coldServices: {service: {requestsPerSecond: 11, startMs: 3000}},
  };
}

function makeRoute(at: number): Route {
  const name = [at, at + 0.25, at + 0.5]
    .map(part => hash32(`${part}`).toString(16))
    .join('-');
  return {
    name,
    host: 'shop.example',
    pathPrefix: `/${name}/`,
    kind: CallKind.IDEMPOTENT,
    services: [{service: 'service', weight: 1}],
    timeoutMs: 1500,
    objectiveMs: 100,
    maxAttempts: 2,
    priority: 1,
    isPublic: false,
    isResumable: false,
  };
}

/** A document that a daemon of the simulation sent. */
export interface SentDocument {
  readonly from: string;
  readonly to: string;
  readonly atMs: number;
  readonly bytes: number;
}

interface Member {
  readonly state: FleetState;
  readonly source: CountedSource;
  readonly sender: ConfigurationSender;
  readonly catchUp: ConfigurationCatchUp;
  /** When the directions of the daemon's link are free, in milliseconds. */
  uploadFreeAtMs: number;
  downloadFreeAtMs: number;
}

/** Daemons behind thin links, on virtual time; the first ones hold an update. */
export class ConfigurationSpread extends PeerRpc {
  readonly documents: SentDocument[] = [];
  /** Number of calls that each daemon sent, by its id. */
  readonly calls = new Map<string, number>();
  readonly members = new Map<string, Member>();
  private readonly runtime = ManagedRuntime.make(TestClock.layer());
  private nowMs = 0;

  constructor(
    daemons: number,
    private readonly followers: number,
    private readonly linkBytesPerMs: number,
  ) {
    super();
    const identities = Array.from({length: daemons}, (_, at) =>
      makeTestIdentity(`daemon-${at}`, `zone-${at % ZONES}`),
    );
    for (const self of identities) {
      const peers = identities.filter(({id}) => id !== self.id);
      // Only the followers advertise an update at once.
      const heartbeats = peers.map(peer =>
        makeTestHeartbeat(peer, identities.indexOf(peer) < followers ? 2 : 1),
      );
      const state = new FleetState();
      const source = new CountedSource();
      const documents = new ConfigurationDocuments(state);
      const random = new SeededRandom(hash32(self.id));
      const metrics = new RouterMetrics();
      const budget = new UploadBudget(linkBytesPerMs * 500);
      this.members.set(self.id, {
        state,
        source,
        sender: new ConfigurationSender(
          self,
          documents,
          budget,
          random,
          metrics,
        ),
        catchUp: new ConfigurationCatchUp(
          self,
          state,
          source,
          this,
          () => heartbeats,
          documents,
          new StateCatchUp(state, source, this),
          random,
          metrics,
        ),
        uploadFreeAtMs: 0,
        downloadFreeAtMs: 0,
      });
    }
  }

  /** Gives each daemon version 1, and the followers version 2, at once. */
  start(before: RoutingConfiguration, update: RoutingConfiguration): void {
    [...this.members.values()].forEach(({state, catchUp}, at) => {
      const isFollower = at < this.followers;
      state.configuration.set(isFollower ? update : before, 0);
      if (isFollower) return;
      const follower = makeTestIdentity('daemon-0', 'zone-0');
      this.runtime.runFork(catchUp.run(makeTestHeartbeat(follower, 2)));
    });
  }

  async run(forMs: number): Promise<void> {
    const endMs = this.nowMs + forMs;
    for (; this.nowMs < endMs; this.nowMs += 1) {
      await this.runtime.runPromise(TestClock.adjust(1));
    }
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
    timeoutMs = 0,
  ): Effect.Effect<S['Type'], PeerError> {
    const query = params as ConfigurationQuery;
    this.calls.set(query.id, (this.calls.get(query.id) ?? 0) + 1);
    const to = this.members.get(query.id);
    const from = this.members.get(address.host);
    const error = new PeerError(method, address.host);
    if (to === undefined || from === undefined) return Effect.fail(error);
    return Effect.gen({self: this}, function* () {
      yield* Effect.sleep(this.startTransfer(to, from, MESSAGE_BYTES));
      const answer = from.sender.answer(query, this.nowMs);
      const bytes = answer.document?.deflated.length ?? 0;
      if (bytes > 0) {
        const sent = {from: address.host, to: query.id, atMs: this.nowMs};
        this.documents.push({...sent, bytes});
      }
      const silenceMs = from.uploadFreeAtMs - this.nowMs;
      const arrivalMs = this.startTransfer(from, to, MESSAGE_BYTES + bytes);
      if (silenceMs > timeoutMs) {
        yield* Effect.sleep(timeoutMs);
        return yield* Effect.fail(error);
      }
      yield* Effect.sleep(arrivalMs);
      const text = JSON.stringify(answer);
      return Schema.decodeUnknownSync(result)(JSON.parse(text));
    });
  }

  /** Occupies both links; returns the time until the last byte arrives. */
  private startTransfer(from: Member, to: Member, bytes: number): number {
    const {nowMs} = this;
    const durationMs = bytes / this.linkBytesPerMs;
    from.uploadFreeAtMs = Math.max(nowMs, from.uploadFreeAtMs) + durationMs;
    const downloadEndMs = Math.max(nowMs, to.downloadFreeAtMs) + durationMs;
    to.downloadFreeAtMs = Math.max(from.uploadFreeAtMs, downloadEndMs);
    return to.downloadFreeAtMs + LATENCY_MS - nowMs;
  }
}
