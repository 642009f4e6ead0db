import {LayerError} from '@greengagecross/common';
import type {BackendFailure} from './backend_failure.js';

/** A failed exchange with a backend server. */
export class BackendError extends LayerError {
  constructor(
    readonly failure: BackendFailure,
    backendId: string,
    cause?: Error,
    /**
     * Time for which the backend server asked not to be sent requests, in
     * milliseconds; 0 if it refused without naming a time. Undefined for other
     * failures.
     */
    readonly retryAfterMs?: number,
  ) {
    super(
      'BackendError',
      `exchange with backend server ${backendId} failed: ${failure}`,
      {failure, backendId},
      cause,
    );
  }
}
