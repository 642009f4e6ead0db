import {randomUUID} from 'node:crypto';

/** Makes an id that no other request or attempt has. */
export function makeRequestId(): string {
  return randomUUID();
}
