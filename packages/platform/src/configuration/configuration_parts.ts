import {Schema} from 'effect';
import type {Configuration} from '@greengagecross/common';
import {makePart, type PartSet} from './part.js';
import {makeTree} from './part_tree.js';

/** The root part of a configuration; it refers to the other parts. */
export const ConfigurationRootSchema = Schema.Struct({
  formatVersion: Schema.Literal(2),
  /** Digests of the services' parts, ordered by service name. */
  services: Schema.Array(Schema.NonEmptyString),
  /** Digest of the root node of the customer tree. */
  customers: Schema.NonEmptyString,
});

/** Decoded form of {@link ConfigurationRootSchema}. */
export type ConfigurationRoot = typeof ConfigurationRootSchema.Type;

/** Splits a configuration into parts; equal input gives equal digests. */
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
