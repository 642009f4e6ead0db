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
  private readonly treeReader = new TreeReader<Customer>(CustomerSchema);

  /**
   * Reads only the services of a configuration.
   *
   * @param digest digest of the configuration's root part.
   */
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
   * Reads a configuration, reusing the unchanged parts of an earlier one.
   *
   * After a change of one customer, only the root part, the customer's leaf and
   * the tree nodes between them are fetched.
   *
   * @param digest digest of the configuration's root part.
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
      const customers = yield* this.treeReader.read(
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
  const earlierParts = new Map(
    earlier?.services.map(part => [part.digest, part]),
  );
  const missing = root.services.filter(digest => !earlierParts.has(digest));
  return Effect.flatMap(source.fetchChecked(missing), bodies =>
    Effect.forEach(root.services, digest => {
      const part = earlierParts.get(digest);
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
      new ConfigurationError(
        'root part of the configuration cannot be parsed',
        toError(thrown),
      ),
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
      new ConfigurationError(
        'part of a service cannot be parsed',
        toError(thrown),
      ),
  });
}
