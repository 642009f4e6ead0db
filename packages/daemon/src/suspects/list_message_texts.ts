import {createHmac} from 'node:crypto';
import type {PositionedPart} from '@greengagecross/decisions';

const HASH_BYTES = 16;
/** Of a longer chat the first half and the last half of this are listed. */
const MAX_MESSAGES = 64;

/**
 * Lists the messages of a chat's body as keyed hashes, which are equal for equal
 * messages of one customer and service. Empty if the body has no messages.
 */
export function listMessageTexts(
  key: string,
  scope: {readonly customer: string; readonly service: string},
  body: Buffer,
): PositionedPart[] {
  const messages = readMessages(body);
  const half = MAX_MESSAGES / 2;
  return messages
    .map((message, position) => ({message, position}))
    .filter(
      ({position}) => position < half || position >= messages.length - half,
    )
    .map(({message, position}) => ({
      id: createHmac('sha256', key)
        .update(`${scope.customer}\u0000${scope.service}\u0000message\u0000`)
        .update(JSON.stringify(message) ?? '')
        .digest()
        .subarray(0, HASH_BYTES)
        .toString('base64url'),
      position,
    }));
}

function readMessages(body: Buffer): readonly unknown[] {
  try {
    const parsed = JSON.parse(body.toString()) as {messages?: unknown} | null;
    return Array.isArray(parsed?.messages) ? parsed.messages : [];
  } catch {
    // The engine rejects a body that is not JSON; it has no messages to blame.
    return [];
  }
}
