import {Effect, Schema} from 'effect';
import {decodeJson, toError} from '@greengagecross/common';
import {ConfigurationError} from './configuration_error.js';
import type {ConfigurationOffer} from './configuration_offer.js';
import {computeDigest} from './digest.js';
import {makePart, type Part} from './part.js';
import {PartSource, type PartBodies, type ReadError} from './part_source.js';

const MAX_PACK_CHARACTERS = 1024 * 1024;

/** Digests of the packs that hold all parts of each document. */
export const PackIndexSchema = Schema.Struct({
  configuration: Schema.Array(Schema.NonEmptyString),
  answers: Schema.Array(Schema.NonEmptyString),
});

/** Decoded form of {@link PackIndexSchema}. */
export type PackIndex = typeof PackIndexSchema.Type;

const PackSchema = Schema.Array(Schema.String);

/**
 * Packs parts into objects of many parts each.
 *
 * A reader that has no parts yet fetches few objects this way. A part larger
 * than the maximum size gets a pack of its own.
 */
export function makePacks(parts: readonly Part[]): Part[] {
  const packs: Part[] = [];
  let bodies: string[] = [];
  let size = 0;
  for (const {body} of parts) {
    if (size + body.length > MAX_PACK_CHARACTERS && bodies.length > 0) {
      packs.push(makePart(bodies));
      bodies = [];
      size = 0;
    }
    bodies.push(body);
    size += body.length;
  }
  if (bodies.length > 0) packs.push(makePart(bodies));
  return packs;
}

/** Makes the packs of an offer; the last part is the index of the packs. */
export function makePackParts(offer: ConfigurationOffer): Part[] {
  const configuration = makePacks(offer.configuration.parts);
  const answers = makePacks(offer.answers.parts);
  const index: PackIndex = {
    configuration: configuration.map(part => part.digest),
    answers: answers.map(part => part.digest),
  };
  return [...configuration, ...answers, makePart(index)];
}

/** Reads the bodies of all parts in packs. */
export function readPacks(
  digests: readonly string[],
  source: PartSource,
): Effect.Effect<PartBodies, ReadError> {
  return Effect.flatMap(source.fetchChecked(digests), packs =>
    Effect.try({
      try: () => {
        const bodies = new Map<string, string>();
        for (const pack of packs.values()) {
          for (const body of decodeJson(PackSchema, pack, 'a pack')) {
            bodies.set(computeDigest(body), body);
          }
        }
        return bodies;
      },
      catch: thrown =>
        new ConfigurationError(
          'pack of parts cannot be parsed',
          toError(thrown),
        ),
    }),
  );
}

/**
 * Serves parts from memory, and missing ones from a fallback source.
 *
 * The result may contain more parts than requested.
 */
export class PackedPartSource extends PartSource {
  constructor(
    private readonly packed: PartBodies,
    private readonly fallback: PartSource,
  ) {
    super();
  }

  override fetch(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, ReadError> {
    const missing = digests.filter(digest => !this.packed.has(digest));
    if (missing.length === 0) return Effect.succeed(this.packed);
    return Effect.map(this.fallback.fetch(missing), bodies => {
      const found = new Map(bodies);
      for (const digest of digests) {
        const body = this.packed.get(digest);
        if (body !== undefined) found.set(digest, body);
      }
      return found;
    });
  }
}

/**
 * Serves parts from a primary source, and missing ones from a fallback source.
 *
 * The fallback source is made when the first part is missing.
 */
export class FallbackPartSource extends PartSource {
  private fallback: PartSource | undefined;

  constructor(
    private readonly primary: PartSource,
    private readonly makeFallback: Effect.Effect<PartSource, ReadError>,
  ) {
    super();
  }

  override fetch(
    digests: readonly string[],
  ): Effect.Effect<PartBodies, ReadError> {
    return Effect.gen({self: this}, function* () {
      const found = yield* this.primary.fetch(digests);
      const missing = digests.filter(digest => !found.has(digest));
      if (missing.length === 0) return found;
      this.fallback ??= yield* this.makeFallback;
      const fallbackBodies = yield* this.fallback.fetch(missing);
      return new Map([...found, ...fallbackBodies]);
    });
  }
}
