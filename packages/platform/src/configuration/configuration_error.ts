import {LayerError} from '@greengagecross/common';

/**
 * A configuration that cannot be read or accepted.
 *
 * For example, a part is missing, does not match its digest or is malformed.
 */
export class ConfigurationError extends LayerError {
  constructor(message: string, cause?: Error) {
    super('ConfigurationError', message, {}, cause);
  }
}
