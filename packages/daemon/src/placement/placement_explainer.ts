import {Clock, Effect} from 'effect';
import {
  ServiceKind,
  type PlacementExplanation,
  type PlacementRecord,
  type Service,
  type Ticket,
  type TicketCodec,
} from '@greengagecross/common';
import {toEngineChoice} from '@greengagecross/decisions';
import {makeChatKey} from '../callers/chat_key.js';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {FleetView} from './fleet_view.js';
import type {PlacementService} from './placement_service.js';

const MAX_RECENT_DECISIONS = 10;

/** A chat whose placement an operator wants explained. */
export interface ExplainQuery {
  readonly customer: string;
  readonly chat: string;
  /**
   * Service name, also of a service without prompts; empty for the first engine
   * service that the customer may use.
   */
  readonly service: string;
  /**
   * Ticket in encoded form as the caller sends it, which names the engine with
   * the chat's warm (cached) context; empty when it is not available.
   */
  readonly ticket: string;
}

/** Explains where a chat would be placed now and where it recently was. */
export class PlacementExplainer {
  constructor(
    private readonly selfId: string,
    private readonly placement: PlacementService,
    private readonly fleet: FleetView,
    private readonly configuration: ConfigurationFollower,
    private readonly tickets: TicketCodec,
  ) {}

  /**
   * Explains a placement; undefined if the named service is not configured, or
   * without a name, if the customer may use no configured engine service.
   */
  explain(
    query: ExplainQuery,
  ): Effect.Effect<PlacementExplanation | undefined> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {customer, chat} = query;
      const service = this.findService(query);
      if (service === undefined) return undefined;
      const chatKey = makeChatKey(customer, chat);
      const recent = this.placement.listDecisions(customer, chatKey);
      const ticket =
        this.tickets.decode(query.ticket, customer, chat) ??
        makeRecentTicket(query, service, recent);
      const choices = this.placement
        .listChoices(service.name, chatKey, ticket, nowMs, customer)
        .map(toEngineChoice);
      const [first] = choices;
      return {
        daemon: this.selfId,
        atMs: nowMs,
        service: service.name,
        warmEngine: ticket?.engine ?? '',
        choices,
        owner:
          first === undefined
            ? ''
            : this.fleet.findOwner(first.engine, nowMs).id,
        recent: recent.slice(0, MAX_RECENT_DECISIONS),
      };
    });
  }

  private findService(query: ExplainQuery): Service | undefined {
    const configuration = this.configuration.getView();
    const customer = configuration?.findCustomer(query.customer);
    if (query.service !== '') return configuration?.findService(query.service);
    const [first] = (customer?.services ?? [])
      .flatMap(name => configuration?.findService(name) ?? [])
      .filter(service => service.kind === ServiceKind.ENGINE);
    return first;
  }
}

/** Makes a substitute for a missing ticket from the last recorded decision. */
function makeRecentTicket(
  {customer, chat}: ExplainQuery,
  service: Service,
  recent: readonly PlacementRecord[],
): Ticket | undefined {
  const last = recent.find(record => record.takenBy !== '');
  if (last === undefined) return undefined;
  return {
    customer,
    chat,
    service: service.name,
    engine: last.takenBy,
    contextTokens: 0,
    warmAtMs: last.atMs,
  };
}
