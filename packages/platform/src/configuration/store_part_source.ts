import {Effect} from 'effect';
import type {ObjectStore} from '../object_store.js';
import type {PlatformError} from '../platform_error.js';
import type {Part} from './part.js';
import {PartSource, type PartBodies} from './part_source.js';

/** Prefix of the object keys of all parts. */
export const PART_PREFIX = 'configuration/part/';
const MAX_CONCURRENT_CALLS = 32;

/** Parts of one segment of the object store, one object for each part. */
export class StorePartSource extends PartSource {
  /** @param segment name of the segment, which is part of the object keys. */
  constructor(
    private readonly objects: ObjectStore,
    private readonly segment: string,
  ) {
    super();
  }

  override fetch(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, PlatformError> {
    const fetchOne = (
      digest: string,
    ): Effect.Effect<readonly [string, string] | undefined, PlatformError> =>
      Effect.map(this.objects.get(this.makeKey(digest)), body =>
        body === undefined ? undefined : [digest, body.toString()],
      );
    return Effect.map(
      Effect.forEach(digests, fetchOne, {concurrency: MAX_CONCURRENT_CALLS}),
      found => new Map(found.filter(entry => entry !== undefined)),
    );
  }

  /** Writes parts to the segment; writing a part twice is safe. */
  put(parts: readonly Part[]): Effect.Effect<void, PlatformError> {
    return Effect.forEach(
      parts,
      part =>
        this.objects.put(this.makeKey(part.digest), Buffer.from(part.body)),
      {concurrency: MAX_CONCURRENT_CALLS, discard: true},
    );
  }

  private makeKey(digest: string): string {
    return `${PART_PREFIX}${this.segment}/${digest}`;
  }
}
