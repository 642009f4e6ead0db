import type {ConfigurationIndex} from './configuration_index.js';
import type {ConfigurationRevision} from './configuration_revision.js';

/** A configuration that was read from the store, with its revision record. */
export interface AcceptedConfiguration {
  readonly record: ConfigurationRevision;
  readonly index: ConfigurationIndex;
}
