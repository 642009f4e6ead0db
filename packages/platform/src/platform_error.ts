import {LayerError} from '@greengagecross/common';
import type {PlatformFailure} from './platform_failure.js';

/**
 * A failed call to the platform, or a row that was read but cannot be parsed.
 *
 * `failure` shows whether the call may have taken effect. For a row that cannot
 * be parsed, `failure` is REFUSED and `call` holds the row's key.
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
