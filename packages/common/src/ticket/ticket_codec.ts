import {createHmac, timingSafeEqual} from 'node:crypto';
import {decodeJson} from '../schema/decode.js';
import {TicketSchema, type Ticket} from './ticket.js';

const MAX_TICKET_CHARACTERS = 2048;

/**
 * Encodes and signs tickets, and verifies and decodes them.
 *
 * A ticket that is forged, altered, too long or of another customer or chat is
 * treated as absent: the chat is then placed as if it were new.
 */
export class TicketCodec {
  /**
   * @param keys signing keys. The first one signs; each of them verifies, so
   * that keys can be rotated.
   */
  constructor(private readonly keys: readonly string[]) {}

  /** Encodes a ticket as signed text for a header. */
  encode(ticket: Ticket): string {
    const body = Buffer.from(JSON.stringify(ticket)).toString('base64url');
    const signature = signBody(body, this.keys[0] ?? '');
    return `${body}.${signature}`;
  }

  /** Decodes a ticket; undefined unless valid for this customer and chat. */
  decode(text: string, customer: string, chat: string): Ticket | undefined {
    if (text.length > MAX_TICKET_CHARACTERS) return undefined;
    const [body, signature, ...rest] = text.split('.');
    if (body === undefined || signature === undefined) return undefined;
    if (rest.length > 0) return undefined;
    if (!this.isSigned(body, signature)) return undefined;
    const ticket = parseBody(body);
    if (ticket === undefined) return undefined;
    if (ticket.customer !== customer || ticket.chat !== chat) return undefined;
    return ticket;
  }

  private isSigned(body: string, signature: string): boolean {
    // Compared as text: several base64url texts decode to the same bytes, and
    // only the canonical one is accepted.
    const given = Buffer.from(signature);
    return this.keys.some(key => {
      const expected = Buffer.from(signBody(body, key));
      return (
        given.length === expected.length && timingSafeEqual(given, expected)
      );
    });
  }
}

function signBody(body: string, key: string): string {
  return createHmac('sha256', key).update(body).digest('base64url');
}

function parseBody(body: string): Ticket | undefined {
  try {
    const text = Buffer.from(body, 'base64url').toString();
    return decodeJson(TicketSchema, text, 'ticket');
  } catch {
    return undefined;
  }
}
