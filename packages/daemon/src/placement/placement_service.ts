import {Clock, Effect} from 'effect';
import type {
  BackendServer,
  Member,
  Service,
  Ticket,
} from '@greengagecross/common';
import type {PlacementPolicy} from '@greengagecross/decisions';
import type {LeavingBackends} from '../leaving/leaving_backends.js';
import type {MemberService} from '../members/member_service.js';
import type {SlotBroker} from './slot_broker.js';

/** Orders the backend servers of a service for a request. */
export class PlacementService {
  constructor(
    private readonly policy: PlacementPolicy,
    private readonly broker: SlotBroker,
    private readonly leaving: LeavingBackends,
    private readonly members: MemberService,
  ) {}

  /** Lists the backend servers to try for a chat, best first. */
  listServers(
    service: Service,
    chatKey: string,
    ticket: Ticket | undefined,
  ): Effect.Effect<BackendServer[]> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const servers = new Map(
        service.backendServers
          .filter(server => !this.leaving.isLeaving(server.id, nowMs))
          .map(server => [server.id, server]),
      );
      const candidates = [...servers.values()].map(server => ({
        id: server.id,
        availabilityZone: server.availabilityZone,
        inFlight: this.broker.countEngine(server.id, nowMs),
      }));
      const rules = service.placement;
      return this.policy
        .choose({chatKey, ticket, rules, nowMs}, candidates)
        .flatMap(candidate => servers.get(candidate.id) ?? []);
    });
  }

  /** Lists the daemons that a caller should try for a chat, best first. */
  listDaemons(
    service: Service | undefined,
    chatKey: string,
    ticket: Ticket | undefined,
  ): Effect.Effect<Member[]> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const live = this.listTakingCallers(nowMs);
      if (service === undefined) return live;
      const servers = yield* this.listServers(service, chatKey, ticket);
      const first = servers[0];
      if (first === undefined) return live;
      const owner = this.broker.findOwner(first.id, nowMs);
      return [owner, ...live.filter(member => member.id !== owner.id)];
    });
  }

  /** A daemon that leaves alone still serves callers until it stops. */
  private listTakingCallers(nowMs: number): Member[] {
    const live = this.members.listLive(nowMs);
    return live.length > 0 ? live : [this.members.getSelf()];
  }
}
