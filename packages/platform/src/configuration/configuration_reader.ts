import {Effect} from 'effect';
import {
  CustomerSchema,
  decodeJson,
  ServiceSchema,
  toError,
  type Customer,
  type Service,
} from '@greengagecross/common';
import {ConfigurationError} from './configuration_error.js';
import {ConfigurationIndex, type ServicePart} from './configuration_index.js';
import {
  ConfigurationRootSchema,
  type ConfigurationRoot,
} from './configuration_parts.js';
import type {PartSource, ReadError} from './part_source.js';
import {TreeReader} from './tree_reader.js';

/** Reads configurations from their parts. */
export class ConfigurationReader {
  private readonly trees = new TreeReader<Customer>(CustomerSchema);

  /** Reads the services of the configuration with a root digest. */
  readServices(
    digest: string,
    source: PartSource,
  ): Effect.Effect<readonly Service[], ReadError> {
    return Effect.gen(function* () {
      const bodies = yield* source.fetchChecked([digest]);
      const root = yield* parseRoot(bodies.get(digest) ?? '');
      const parts = yield* readServices(root, source, undefined);
      return parts.map(part => part.service);
    });
  }

  /**
   * Reads the configuration with a root digest.
   *
   * Parts of an earlier one are taken from it, so a change of one customer
   * fetches the root, its leaf and the nodes between.
   */
  read(
    digest: string,
    source: PartSource,
    earlier: ConfigurationIndex | undefined,
  ): Effect.Effect<ConfigurationIndex, ReadError> {
    return Effect.gen({self: this}, function* () {
      const bodies = yield* source.fetchChecked([digest]);
      const body = bodies.get(digest) ?? '';
      const root = yield* parseRoot(body);
      const services = yield* readServices(root, source, earlier);
      const customers = yield* this.trees.read(
        root.customers,
        source,
        earlier?.customers,
      );
      return new ConfigurationIndex({digest, body}, services, customers);
    });
  }
}

function readServices(
  root: ConfigurationRoot,
  source: PartSource,
  earlier: ConfigurationIndex | undefined,
): Effect.Effect<readonly ServicePart[], ReadError> {
  const known = new Map(earlier?.services.map(part => [part.digest, part]));
  const wanted = root.services.filter(digest => !known.has(digest));
  return Effect.flatMap(source.fetchChecked(wanted), bodies =>
    Effect.forEach(root.services, digest => {
      const part = known.get(digest);
      if (part !== undefined) return Effect.succeed(part);
      return parseService(digest, bodies.get(digest) ?? '');
    }),
  );
}

function parseRoot(
  body: string,
): Effect.Effect<ConfigurationRoot, ConfigurationError> {
  return Effect.try({
    try: () => decodeJson(ConfigurationRootSchema, body, 'the root part'),
    catch: thrown =>
      new ConfigurationError('the root part is unreadable', toError(thrown)),
  });
}

function parseService(
  digest: string,
  body: string,
): Effect.Effect<ServicePart, ConfigurationError> {
  return Effect.try({
    try: () => {
      const service = decodeJson(ServiceSchema, body, 'a service');
      return {digest, body, service};
    },
    catch: thrown =>
      new ConfigurationError("a service's part is unreadable", toError(thrown)),
  });
}
