import {hash32} from '@greengagecross/common';
import type {ClientCall} from '../model/client_call.js';

/**
 * Makes an unkeyed 32-bit hash of API key, host, target and body, equal for a
 * request that is sent again.
 */
export function makeFingerprint(call: ClientCall, body: Buffer): string {
  const text = `${call.apiKey}\u0000${call.host}${call.target}\u0000`;
  return hash32(text + body.toString('latin1')).toString(36);
}
