import {RequestDeadline} from '@greengagecross/decisions';
import type {GuardedRequest} from './request_guard.js';

const DEADLINE_MS = 60_000;

/** Makes a chat with one message, as tests of guards send it. */
export function makeChat(message: string): GuardedRequest {
  return {
    requestId: `chat-${message}`,
    fingerprintParts: {
      customer: 'acme',
      service: 'assistant',
      call: '',
      body: Buffer.from(JSON.stringify({messages: [{content: message}]})),
    },
    deadline: RequestDeadline.make(undefined, DEADLINE_MS, Date.now()),
  };
}
