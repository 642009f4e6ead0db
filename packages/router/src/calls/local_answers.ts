import type {CallAddress} from '../model/client_call.js';
import type {CallCodec} from '../ports/call_codec.js';
import {CallOutcome, type CallAnswer} from './call_answer.js';

/**
 * HTTP status of each answer that the router generates itself. 503 guarantees
 * that the request was not run and never will be; 502 and 504 guarantee
 * nothing.
 */
const STATUS_BY_OUTCOME: Readonly<Partial<Record<CallOutcome, number>>> = {
  [CallOutcome.NO_CONFIGURATION]: 503,
  [CallOutcome.OUTDATED]: 503,
  [CallOutcome.NO_ROUTE]: 404,
  [CallOutcome.UNKNOWN_KEY]: 401,
  [CallOutcome.TOO_LARGE]: 413,
  [CallOutcome.NO_SERVER]: 503,
  [CallOutcome.NOT_RUN]: 503,
  [CallOutcome.CONDEMNED]: 503,
  [CallOutcome.CONDEMNED_PART]: 503,
  [CallOutcome.OVERLOADED]: 503,
  [CallOutcome.STOPPING]: 503,
  [CallOutcome.UNKNOWN]: 502,
  [CallOutcome.TIMED_OUT]: 504,
};

/** Builds the answers that the router generates itself. */
export class LocalAnswers {
  constructor(private readonly codec: CallCodec) {}

  /** @param retryAfterMs retry delay for the client; undefined for none */
  make(
    outcome: CallOutcome,
    call: CallAddress | undefined,
    retryAfterMs?: number,
  ): CallAnswer {
    return {
      outcome,
      status: STATUS_BY_OUTCOME[outcome] ?? 502,
      headers: {
        'content-type': 'application/json',
        ...this.codec.buildLocalAnswerHeaders(call, retryAfterMs),
      },
      body: JSON.stringify({error: outcome}),
    };
  }
}
