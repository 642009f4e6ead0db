import {Effect} from 'effect';
import {
  formatAddress,
  HeaderName,
  Outcome,
  ServiceKind,
  type TicketCodec,
} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import type {PlacementService} from '../placement/placement_service.js';
import {buildOutcomeHeaders} from './answer_refusal.js';
import type {Authenticator} from './authenticator.js';
import {makeChatKey} from './chat_key.js';
import type {Refusal} from './refusal.js';

/**
 * Answers with the addresses of the daemons that a caller should use, as far as
 * this daemon knows. Callers may cache the addresses for `keepMs` milliseconds.
 */
export class DirectoryHandler {
  constructor(
    private readonly authenticator: Authenticator,
    private readonly placement: PlacementService,
    private readonly tickets: TicketCodec,
    private readonly keepMs: number,
  ) {}

  /** Answers GET /v1/directory?chat=…&service=…. */
  handle(
    exchange: HttpExchange,
    requestId: string,
  ): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const {customer, view} = yield* this.authenticator.verify(exchange);
      const chat = exchange.query.get('chat') ?? '';
      const requested = view.findService(exchange.query.get('service') ?? '');
      const service =
        requested?.kind === ServiceKind.ENGINE ? requested : undefined;
      const text = exchange.getHeader(HeaderName.TICKET);
      const ticket =
        text === undefined
          ? undefined
          : this.tickets.decode(text, customer.id, chat);
      const daemons = yield* this.placement.listDaemons(
        service,
        makeChatKey(customer.id, chat),
        ticket,
        customer.id,
      );
      const addresses = daemons.map(member =>
        formatAddress(member.callerAddress),
      );
      exchange.sendJson(
        200,
        {addresses, keepMs: this.keepMs},
        buildOutcomeHeaders(Outcome.COMPLETE, requestId),
      );
    });
  }
}
