import {Clock, Effect} from 'effect';
import {Schema} from 'effect';
import type {Member, Service} from '@greengagecross/common';
import {
  computeLoadBound,
  findEngineOwner,
  type EngineLedger,
} from '@greengagecross/decisions';
import {
  PeerMethod,
  SlotAnswerSchema,
  type AcquireSlot,
  type PeerClient,
} from '@greengagecross/peers';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {LeavingBackends} from '../leaving/leaving_backends.js';
import type {MemberService} from '../members/member_service.js';

/** Room for one request on one engine, until it is released. */
export interface Slot {
  readonly engine: string;
  readonly slotId: string;
  /** Daemon that counts it. */
  readonly owner: Member;
}

/** Acquires slots from the daemons that count the engines' requests. */
export class SlotBroker {
  constructor(
    private readonly selfId: string,
    private readonly members: MemberService,
    private readonly ledger: EngineLedger,
    private readonly peers: PeerClient,
    private readonly configuration: ConfigurationFollower,
    private readonly leaving: LeavingBackends,
  ) {}

  /** Acquires a slot, or gives undefined when the engine is at its bound. */
  acquire(engine: string, slotId: string): Effect.Effect<Slot | undefined> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const owner = this.findOwner(engine, nowMs);
      const request = {engine, slotId, holder: this.selfId};
      const granted =
        owner.id === this.selfId
          ? yield* this.answerAcquire(request)
          : yield* this.askOwner(owner, request);
      return granted ? {engine, slotId, owner} : undefined;
    });
  }

  /** Releases a slot; a lost release is made good when the holder leaves. */
  release(slot: Slot): Effect.Effect<void> {
    const {engine, slotId, owner} = slot;
    if (owner.id === this.selfId) {
      return Effect.sync(() => this.ledger.release(engine, slotId));
    }
    const params = {engine, slotId};
    return this.peers
      .send(
        owner.controlAddress,
        PeerMethod.RELEASE_SLOT,
        params,
        Schema.Unknown,
      )
      .pipe(Effect.ignore, Effect.forkDetach, Effect.asVoid);
  }

  /** Grants or refuses a slot of an engine that this daemon owns. */
  answerAcquire(request: AcquireSlot): Effect.Effect<boolean> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      if (this.leaving.isLeaving(request.engine, nowMs)) return false;
      const service = this.findServiceOf(request.engine);
      if (service === undefined) return false;
      const bound = computeLoadBound(
        this.countService(service, nowMs),
        service.backendServers.length,
        service.placement.maxLoadMultiple,
      );
      const {engine, slotId, holder} = request;
      const elsewhere = this.countElsewhere(engine);
      return this.ledger.acquire(engine, slotId, holder, bound - elsewhere);
    });
  }

  /** Finds the daemon that counts an engine's requests. */
  findOwner(engine: string, nowMs: number): Member {
    const live = this.members.listLive(nowMs);
    const id = findEngineOwner(
      engine,
      live.map(member => member.id),
    );
    return live.find(member => member.id === id) ?? this.members.getSelf();
  }

  /** Counts an engine's requests; other daemons' share is as last told. */
  countEngine(engine: string, unusedNowMs?: number): number {
    return this.ledger.count(engine) + this.countElsewhere(engine);
  }

  /**
   * Counts what other daemons hold of an engine. Beside its owner that is one
   * which owned it earlier and still has requests of that time.
   */
  private countElsewhere(engine: string): number {
    return this.members
      .listOthers()
      .flatMap(member => member.engines)
      .filter(count => count.engine === engine)
      .reduce((total, count) => total + count.inFlight, 0);
  }

  private countService(service: Service, nowMs: number): number {
    return service.backendServers.reduce(
      (total, server) => total + this.countEngine(server.id, nowMs),
      0,
    );
  }

  private findServiceOf(engine: string): Service | undefined {
    const services = this.configuration.getView()?.listServices() ?? [];
    return services.find(service =>
      service.backendServers.some(server => server.id === engine),
    );
  }

  private askOwner(
    owner: Member,
    request: AcquireSlot,
  ): Effect.Effect<boolean> {
    return this.peers
      .send(
        owner.controlAddress,
        PeerMethod.ACQUIRE_SLOT,
        request,
        SlotAnswerSchema,
      )
      .pipe(
        Effect.map(answer => answer.granted),
        // An owner that cannot be asked may have granted the slot; it is
        // released there when this daemon's request ends.
        Effect.catch(() => Effect.succeed(false)),
      );
  }
}
