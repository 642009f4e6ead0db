import {Effect} from 'effect';
import {OutcomeReason} from '@greengagecross/common';
import {HttpFailure, type HttpExchange} from '@greengagecross/http';
import {makeNotRun, type Refusal} from './refusal.js';

const MAX_REQUEST_BYTES = 8 * 1024 * 1024;
const RETRY_AFTER_MS = 1000;

/** Reads the complete body of a caller's request. */
export function readRequest(
  exchange: HttpExchange,
): Effect.Effect<Buffer, Refusal> {
  return exchange
    .readBody(MAX_REQUEST_BYTES)
    .pipe(Effect.mapError(({failure}) => makeReadRefusal(failure)));
}

function makeReadRefusal(failure: HttpFailure): Refusal {
  switch (failure) {
    case HttpFailure.TOO_LARGE:
      return makeNotRun(
        OutcomeReason.TOO_LARGE,
        413,
        `a request may have at most ${MAX_REQUEST_BYTES} bytes`,
      );
    case HttpFailure.OVERLOADED:
      return makeNotRun(
        OutcomeReason.OVERLOADED,
        503,
        'the requests that are being read take too much memory',
        RETRY_AFTER_MS,
      );
    default:
      return makeNotRun(
        OutcomeReason.BAD_REQUEST,
        400,
        'the request was cut short',
      );
  }
}
