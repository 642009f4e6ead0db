import {Clock, Effect} from 'effect';
import {
  hash32,
  type BackendServer,
  type Member,
  type PlacementRecord,
  type Service,
  type Ticket,
} from '@greengagecross/common';
import {
  toEngineChoice,
  type DecisionLog,
  type PlacementChoice,
  type PlacementPolicy,
  type SlotAuthority,
} from '@greengagecross/decisions';
import type {CustomerEngineSubsets} from '../limits/customer_engine_subsets.js';
import type {EngineIndex} from './engine_index.js';
import type {FleetView} from './fleet_view.js';

/**
 * A backend server to try for a request. The choice holds the reason, and the
 * expected and the longest wait for a slot of the server; its `engine` is the
 * id of any backend server, also of a worker (a server of a service without
 * prompts).
 */
export interface PlacedServer {
  readonly server: BackendServer;
  readonly choice: PlacementChoice;
}

/** Identifies the request that is placed, for the decision log. */
export interface PlacedRequest {
  readonly requestId: string;
  readonly customer: string;
}

/** Ranks the backend servers of a service for a request. */
export class PlacementService {
  constructor(
    private readonly self: {
      readonly id: string;
      readonly availabilityZone: string;
    },
    private readonly policy: PlacementPolicy,
    private readonly authority: SlotAuthority,
    private readonly index: EngineIndex,
    private readonly fleet: FleetView,
    private readonly decisions: DecisionLog,
    private readonly subsets: CustomerEngineSubsets,
  ) {}

  /**
   * Chooses the engines to try for a chat, best first, and adds the decision to
   * the decision log.
   */
  choose(
    service: Service,
    chatKey: string,
    ticket: Ticket | undefined,
    request: PlacedRequest,
  ): Effect.Effect<PlacedServer[]> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const choices = this.listChoices(
        service.name,
        chatKey,
        ticket,
        nowMs,
        request.customer,
      );
      this.decisions.add(hash32(chatKey), {
        ...request,
        service: service.name,
        atMs: nowMs,
        ticketEngine: ticket?.engine ?? '',
        choices: choices.map(toEngineChoice),
        takenBy: '',
      });
      return choices.flatMap(choice => {
        const server = this.index.findServer(choice.engine);
        return server === undefined ? [] : [{server, choice}];
      });
    });
  }

  /**
   * Records which engine accepted a request; ignored if the request is not in
   * the decision log.
   */
  recordAcceptingEngine(requestId: string, engine: string): void {
    this.decisions.recordAcceptingEngine(requestId, engine);
  }

  /** Lists this daemon's latest decisions for a chat, newest first. */
  listDecisions(customer: string, chatKey: string): PlacementRecord[] {
    return this.decisions.listOfChat(customer, hash32(chatKey));
  }

  /**
   * Lists the servers to try for a call that needs no slot, best first.
   *
   * @param placementKey id of the request
   */
  listServers(
    service: Service,
    placementKey: string,
    ticket: Ticket | undefined,
  ): Effect.Effect<BackendServer[]> {
    return Effect.map(Clock.currentTimeMillis, nowMs =>
      this.listChoices(service.name, placementKey, ticket, nowMs).flatMap(
        choice => this.index.findServer(choice.engine) ?? [],
      ),
    );
  }

  /**
   * Lists the choices as of now, best first; empty for unknown services.
   *
   * @param placementKey key of the chat, or id of a request without a chat
   * @param nowMs in ms since the epoch
   */
  listChoices(
    service: string,
    placementKey: string,
    ticket: Ticket | undefined,
    nowMs: number,
    customer?: string,
  ): PlacementChoice[] {
    const group = this.index.findByName(service, nowMs)?.group;
    if (group === undefined) return [];
    const {id, availabilityZone} = this.self;
    const snapshot = this.fleet.getSnapshot(nowMs);
    const usableTicket = ticket?.service === service ? ticket : undefined;
    const subset = this.subsets.find(customer, group, nowMs);
    return this.policy.choose(
      {
        chatKey: placementKey,
        ticket: usableTicket,
        availabilityZone,
        nowMs,
        ...(subset === undefined ? {} : {eligibleEngines: subset.engines}),
      },
      group,
      {
        count: engine => this.authority.countOverall(engine, snapshot),
        isOwnedLocally: engine => this.fleet.findOwner(engine, nowMs).id === id,
        bound: this.authority.computeBound(group, snapshot),
      },
    );
  }

  /**
   * Lists the daemons that a caller should try for a chat: first the owner of
   * the best engine, the daemon that counts the engine's requests.
   */
  listDaemons(
    service: Service | undefined,
    chatKey: string,
    ticket: Ticket | undefined,
    customer: string,
  ): Effect.Effect<Member[]> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const daemons = [...this.fleet.listAcceptingCallers(nowMs)];
      if (service === undefined) return daemons;
      const [first] = this.listChoices(
        service.name,
        chatKey,
        ticket,
        nowMs,
        customer,
      );
      if (first === undefined) return daemons;
      const owner = this.fleet.findOwner(first.engine, nowMs);
      return [owner, ...daemons.filter(member => member.id !== owner.id)];
    });
  }
}
