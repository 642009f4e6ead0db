import {Clock, Effect} from 'effect';
import {
  formatAddress,
  type Member,
  type TicketCodec,
} from '@greengagecross/common';
import {findEarlierEngine} from '@greengagecross/decisions';
import type {ChatJob} from './chat_attempt.js';

/** What a caller keeps for its chat's next turn. */
export interface NextTurn {
  readonly ticket: string;
  /** Daemon that counts the chat's engine. */
  readonly address: string;
}

/**
 * Makes what brings the next turn of a chat to its warm engine.
 *
 * The address spares the next turn a slot call: its owner grants by itself.
 */
export class NextTurns {
  /** @param findOwner finds the daemon that counts an engine's requests. */
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
      const earlier = findEarlierEngine(job.ticket, engine);
      const ticket = this.tickets.encode({
        customer: job.customer.id,
        chat: job.chat,
        service: job.service.name,
        engine,
        contextTokens,
        warmAtMs: nowMs,
        ...(earlier === undefined ? {} : {earlier}),
      });
      const {callerAddress} = this.findOwner(engine, nowMs);
      return {ticket, address: formatAddress(callerAddress)};
    });
  }
}
