import {LayerError} from '@greengagecross/common';

/** A failed call to another daemon. */
export class PeerError extends LayerError {
  constructor(method: string, target: string, cause?: Error) {
    super(
      'PeerError',
      `call of ${method} on ${target} failed`,
      {method, target},
      cause,
    );
  }
}
