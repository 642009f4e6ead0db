import {Effect, Schema} from 'effect';
import type {PlatformClient} from './platform_client.js';
import type {PlatformError} from './platform_error.js';
import {WeightStore} from './weight_store.js';

/** The platform answers an unknown version with 404 and the JSON body `{}`. */
const SizeSchema = Schema.Struct({bytes: Schema.optionalKey(Schema.Int)});

/** Weight store that is reached over the platform's HTTP API. */
export class HttpWeightStore extends WeightStore {
  constructor(private readonly client: PlatformClient) {
    super();
  }

  override getSize(
    model: string,
    version: string,
  ): Effect.Effect<number | undefined, PlatformError> {
    const name = `${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return this.client
      .requestJson('GET', `/v1/weights/${name}`, undefined, SizeSchema)
      .pipe(Effect.map(reply => reply.bytes));
  }
}
