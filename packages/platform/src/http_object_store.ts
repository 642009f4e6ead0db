import {Effect, Schema} from 'effect';
import {ObjectStore} from './object_store.js';
import type {PlatformCaller} from './platform_caller.js';
import type {PlatformError} from './platform_error.js';

/** The object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  constructor(private readonly caller: PlatformCaller) {
    super();
  }

  override put(key: string, body: Buffer): Effect.Effect<void, PlatformError> {
    return Effect.asVoid(this.caller.send('PUT', makePath(key), body));
  }

  override get(key: string): Effect.Effect<Buffer | undefined, PlatformError> {
    return this.caller
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
      this.caller.ask('POST', '/v1/objects-list', body, KeysSchema),
      ({keys}) => keys,
    );
  }

  override remove(key: string): Effect.Effect<void, PlatformError> {
    return Effect.asVoid(this.caller.send('DELETE', makePath(key)));
  }
}

const KeysSchema = Schema.Struct({keys: Schema.Array(Schema.String)});

function makePath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
