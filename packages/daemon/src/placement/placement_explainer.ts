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

const MAX_RECENT = 10;

/** What an operator asks about. */
export interface ExplainQuestion {
  readonly customer: string;
  readonly chat: string;
  /** Empty for the first engine service that the customer may use. */
  readonly service: string;
  /** Ticket as the caller holds it; empty when it is not at hand. */
  readonly ticket: string;
}

/** Explains where a chat would go now and where it went lately. */
export class PlacementExplainer {
  constructor(
    private readonly selfId: string,
    private readonly placement: PlacementService,
    private readonly view: FleetView,
    private readonly configuration: ConfigurationFollower,
    private readonly tickets: TicketCodec,
  ) {}

  /** Explains; undefined when customer or service is unknown. */
  explain(
    question: ExplainQuestion,
  ): Effect.Effect<PlacementExplanation | undefined> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {customer, chat} = question;
      const service = this.findService(question);
      if (service === undefined) return undefined;
      const chatKey = makeChatKey(customer, chat);
      const recent = this.placement.listDecisions(customer, chatKey);
      const ticket =
        this.tickets.decode(question.ticket, customer, chat) ??
        makeLastTicket(question, service, recent);
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
            : this.view.findOwner(first.engine, nowMs).id,
        recent: recent.slice(0, MAX_RECENT),
      };
    });
  }

  private findService(question: ExplainQuestion): Service | undefined {
    const view = this.configuration.getView();
    const customer = view?.findCustomer(question.customer);
    if (question.service !== '') return view?.findService(question.service);
    const [first] = (customer?.services ?? [])
      .flatMap(name => view?.findService(name) ?? [])
      .filter(service => service.kind === ServiceKind.ENGINE);
    return first;
  }
}

/** Makes up a lost ticket from what this daemon last decided. */
function makeLastTicket(
  {customer, chat}: ExplainQuestion,
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
