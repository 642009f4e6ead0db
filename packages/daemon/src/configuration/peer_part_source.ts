import {Effect} from 'effect';
import type {Address} from '@greengagecross/common';
import {
  MAX_PARTS_PER_CALL,
  PartsAnswerSchema,
  PeerMethod,
  type PeerClient,
} from '@greengagecross/peers';
import {
  ConfigurationError,
  PartSource,
  type PartBodies,
} from '@greengagecross/platform';

/**
 * Fetches the parts that a peer has in force, a limited number per call. Parts
 * that the peer does not have are left out without an error.
 */
export class PeerPartSource extends PartSource {
  constructor(
    private readonly peers: PeerClient,
    private readonly address: Address,
  ) {
    super();
  }

  override fetch(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, ConfigurationError> {
    return Effect.gen({self: this}, function* () {
      const bodies = new Map<string, string>();
      let missing = [...digests];
      while (missing.length > 0) {
        const asked = missing.slice(0, MAX_PARTS_PER_CALL);
        const answer = yield* this.peers
          .send(
            this.address,
            PeerMethod.FETCH_PARTS,
            {digests: asked},
            PartsAnswerSchema,
          )
          .pipe(Effect.mapError(toConfigurationError));
        if (answer.parts.length === 0) break;
        for (const {digest, body} of answer.parts) bodies.set(digest, body);
        missing = missing.filter(digest => !bodies.has(digest));
      }
      return bodies;
    });
  }
}

function toConfigurationError(error: Error): ConfigurationError {
  return new ConfigurationError(
    'configuration parts could not be fetched from a peer',
    error,
  );
}
