import {createHmac} from 'node:crypto';

const FINGERPRINT_BYTES = 16;

/** The parts of a request that identify it when it is sent again. */
export interface FingerprintParts {
  readonly customer: string;
  readonly service: string;
  /** Method and path of the request; empty for a chat. */
  readonly call: string;
  readonly body: Buffer;
}

/** Makes the keyed hash, in base64url, that identifies a request. */
export function makeFingerprint(key: string, parts: FingerprintParts): string {
  const {customer, service, call, body} = parts;
  return createHmac('sha256', key)
    .update(`${customer}\u0000${service}\u0000${call}\u0000`)
    .update(body)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
