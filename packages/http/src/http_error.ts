import {LayerError} from '@greengagecross/common';
import type {HttpFailure} from './http_failure.js';
import type {RequestPhase} from './request_phase.js';

/** A failed HTTP exchange, with whether the other end may have seen it. */
export class HttpError extends LayerError {
  constructor(
    readonly failure: HttpFailure,
    readonly phase: RequestPhase,
    target: string,
    cause?: Error,
  ) {
    super(
      'HttpError',
      `HTTP exchange with ${target} failed: ${failure}`,
      {failure, phase, target},
      cause,
    );
  }
}
