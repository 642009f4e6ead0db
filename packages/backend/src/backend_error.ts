import {LayerError} from '@greengagecross/common';
import type {BackendFailure} from './backend_failure.js';

/** A failed exchange with a backend server. */
export class BackendError extends LayerError {
  constructor(
    readonly failure: BackendFailure,
    backendId: string,
    cause?: Error,
    /** How long the backend server asks to be spared, in milliseconds. */
    readonly retryAfterMs?: number,
  ) {
    super(
      'BackendError',
      `backend server ${backendId} failed: ${failure}`,
      {failure, backendId},
      cause,
    );
  }
}
