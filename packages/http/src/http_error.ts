import {LayerError} from '@greengagecross/common';
import type {HttpFailure} from './http_failure.js';
import type {RequestPhase} from './request_phase.js';

/**
 * Failure of an HTTP exchange or listener. `phase` is not a stage of the
 * exchange, but whether the other end may have received the request.
 *
 * @param receivedBytes received bytes of the body; undefined before the body
 */
export class HttpError extends LayerError {
  constructor(
    readonly failure: HttpFailure,
    readonly phase: RequestPhase,
    target: string,
    cause?: Error,
    readonly receivedBytes?: number,
  ) {
    super(
      'HttpError',
      `HTTP exchange with ${target} failed: ${failure}`,
      {
        failure,
        phase,
        target,
        ...(receivedBytes === undefined ? {} : {receivedBytes}),
      },
      cause,
    );
  }
}
