import type {ClientCall} from '../model/client_call.js';
import type {CallCodec} from '../ports/call_codec.js';
import {CallOutcome, type CallAnswer} from './call_answer.js';

/**
 * Status of each answer of this system's own. 503 promises that the request
 * did not run and never will; 502 and 504 promise nothing.
 */
const STATUS: Readonly<Partial<Record<CallOutcome, number>>> = {
  [CallOutcome.NO_CONFIGURATION]: 503,
  [CallOutcome.NO_ROUTE]: 404,
  [CallOutcome.UNKNOWN_KEY]: 401,
  [CallOutcome.TOO_LARGE]: 413,
  [CallOutcome.NO_SERVER]: 503,
  [CallOutcome.NOT_RUN]: 503,
  [CallOutcome.CONDEMNED]: 503,
  [CallOutcome.OVERLOADED]: 503,
  [CallOutcome.STOPPING]: 503,
  [CallOutcome.UNKNOWN]: 502,
  [CallOutcome.TIMED_OUT]: 504,
};

/** Makes answers of this system's own. */
export class OwnAnswers {
  constructor(private readonly codec: CallCodec) {}

  /** @param retryAfterMs when the client may come again, if that may help */
  make(
    outcome: CallOutcome,
    call: ClientCall | undefined,
    retryAfterMs?: number,
  ): CallAnswer {
    return {
      outcome,
      status: STATUS[outcome] ?? 502,
      headers: {
        'content-type': 'application/json',
        ...this.codec.buildOwnHeaders(call, retryAfterMs),
      },
      body: JSON.stringify({error: outcome}),
    };
  }
}
