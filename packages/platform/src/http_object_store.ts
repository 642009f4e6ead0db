import {Effect} from 'effect';
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
}

function makePath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}
