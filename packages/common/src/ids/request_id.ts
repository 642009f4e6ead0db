import {randomUUID} from 'node:crypto';

/** Makes a random UUID, such as for a request, an operation or a lease write. */
export function makeRandomId(): string {
  return randomUUID();
}
