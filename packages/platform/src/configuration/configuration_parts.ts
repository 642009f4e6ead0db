import {Schema} from 'effect';
import type {Configuration} from '@greengagecross/common';
import {makePart, type PartSet} from './part.js';
import {makeTree} from './part_tree.js';

/** The root part of a configuration. */
export const ConfigurationRootSchema = Schema.Struct({
  formatVersion: Schema.Literal(2),
  /** Digests of the services' parts, in the order of their names. */
  services: Schema.Array(Schema.NonEmptyString),
  /** Digest of the root of the customers' tree. */
  customers: Schema.NonEmptyString,
});

/** Decoded form of {@link ConfigurationRootSchema}. */
export type ConfigurationRoot = typeof ConfigurationRootSchema.Type;

/** Splits a configuration into parts; the same each time. */
export function makeConfigurationParts(configuration: Configuration): PartSet {
  const services = configuration.services.map(makePart);
  const customers = makeTree(configuration.customers, customer => customer.id);
  const root: ConfigurationRoot = {
    formatVersion: 2,
    services: services.map(part => part.digest),
    customers: customers.digest,
  };
  const part = makePart(root);
  return {
    digest: part.digest,
    parts: [...services, ...customers.parts, part],
  };
}
