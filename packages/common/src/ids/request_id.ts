import {randomUUID} from 'node:crypto';

/** Makes a random UUID for a request or an attempt. */
export function makeRequestId(): string {
  return randomUUID();
}
