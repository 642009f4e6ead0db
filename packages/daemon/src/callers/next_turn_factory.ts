import {Clock, Effect} from 'effect';
import {
  formatAddress,
  type Member,
  type TicketCodec,
} from '@greengagecross/common';
import {findEarlierEngine} from '@greengagecross/decisions';
import type {ChatJob} from './chat_attempt.js';

/** Routing information that a caller keeps for its chat's next turn. */
export interface NextTurn {
  readonly ticket: string;
  /** Address of the daemon that owns the chat's engine. */
  readonly address: string;
}

/**
 * Makes the ticket and the address that route the next turn of a chat to its
 * warm engine, i.e. the engine that has the chat's context cached.
 *
 * The address is that of the engine's owner, the daemon that counts the
 * engine's requests. The owner grants slots locally, so a turn sent there needs
 * no RPC to a peer to acquire a slot.
 */
export class NextTurnFactory {
  /** @param findOwner finds the owner of an engine. */
  constructor(
    private readonly tickets: TicketCodec,
    private readonly findOwner: (engine: string, nowMs: number) => Member,
  ) {}

  /** Makes the ticket and address after an engine has answered a chat. */
  make(
    job: Pick<ChatJob, 'customer' | 'chat' | 'service' | 'ticket'>,
    engine: string,
    contextTokens: number,
  ): Effect.Effect<NextTurn> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const earlierEngine = findEarlierEngine(job.ticket, engine);
      const ticket = this.tickets.encode({
        customer: job.customer.id,
        chat: job.chat,
        service: job.service.name,
        engine,
        contextTokens,
        warmAtMs: nowMs,
        ...(earlierEngine === undefined ? {} : {earlier: earlierEngine}),
      });
      const {callerAddress} = this.findOwner(engine, nowMs);
      return {ticket, address: formatAddress(callerAddress)};
    });
  }
}
