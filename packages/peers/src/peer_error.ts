import {LayerError} from '@greengagecross/common';

/**
 * A failed call to another daemon; without a `cause`, it had no result in time.
 * {@link PeerServer} also uses it, with the method `receive` and the target
 * `self`, for a received JSON-RPC body that cannot be processed.
 */
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
