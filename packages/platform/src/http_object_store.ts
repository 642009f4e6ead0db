import {Effect, Schema} from 'effect';
import {ObjectStore} from './object_store.js';
import type {PlatformClient} from './platform_client.js';
import type {PlatformError} from './platform_error.js';

/** Object store that is reached over the platform's HTTP API. */
export class HttpObjectStore extends ObjectStore {
  constructor(private readonly client: PlatformClient) {
    super();
  }

  override put(key: string, body: Buffer): Effect.Effect<void, PlatformError> {
    return Effect.asVoid(this.client.send('PUT', makePath(key), body));
  }

  override get(key: string): Effect.Effect<Buffer | undefined, PlatformError> {
    return this.client
      .send('GET', makePath(key))
      .pipe(
        Effect.map(reply => (reply.status === 404 ? undefined : reply.body)),
      );
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly string[], PlatformError> {
    const body = {prefix, after, limit};
    return Effect.map(
      this.client.requestJson('POST', '/v1/objects-list', body, KeysSchema),
      ({keys}) => keys,
    );
  }

  override remove(key: string): Effect.Effect<void, PlatformError> {
    return Effect.asVoid(this.client.send('DELETE', makePath(key)));
  }
}

const KeysSchema = Schema.Struct({keys: Schema.Array(Schema.String)});

function makePath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
