import {Effect} from 'effect';
import type {ObjectStore} from '../object_store.js';
import type {PlatformError} from '../platform_error.js';
import type {Part} from './part.js';
import {PartSource, type PartBodies} from './part_source.js';

const CONCURRENT_CALLS = 32;

/** Parts in the object store, one object each. */
export class StorePartSource extends PartSource {
  constructor(private readonly objects: ObjectStore) {
    super();
  }

  override fetch(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, PlatformError> {
    const fetchOne = (
      digest: string,
    ): Effect.Effect<readonly [string, string] | undefined, PlatformError> =>
      Effect.map(this.objects.get(makePartKey(digest)), body =>
        body === undefined ? undefined : [digest, body.toString()],
      );
    return Effect.map(
      Effect.forEach(digests, fetchOne, {concurrency: CONCURRENT_CALLS}),
      found => new Map(found.filter(entry => entry !== undefined)),
    );
  }

  /** Writes parts; writing one twice is safe. */
  put(parts: readonly Part[]): Effect.Effect<void, PlatformError> {
    return Effect.forEach(
      parts,
      part =>
        this.objects.put(makePartKey(part.digest), Buffer.from(part.body)),
      {concurrency: CONCURRENT_CALLS, discard: true},
    );
  }
}

function makePartKey(digest: string): string {
  return `configuration/part/${digest}`;
}
