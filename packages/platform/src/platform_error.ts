import {LayerError} from '@greengagecross/common';
import type {PlatformFailure} from './platform_failure.js';

/**
 * A failed call to the platform, or a stored row that cannot be parsed.
 *
 * `failure` says whether the call may have taken effect.
 */
export class PlatformError extends LayerError {
  constructor(
    readonly failure: PlatformFailure,
    call: string,
    cause?: Error,
  ) {
    super(
      'PlatformError',
      `platform call ${call} failed: ${failure}`,
      {failure, call},
      cause,
    );
  }
}
