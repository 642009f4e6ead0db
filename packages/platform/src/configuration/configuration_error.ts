import {LayerError} from '@greengagecross/common';

/** A configuration in the store that cannot be taken. */
export class ConfigurationError extends LayerError {
  constructor(message: string, cause?: Error) {
    super('ConfigurationError', message, {}, cause);
  }
}
