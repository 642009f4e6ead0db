import type {ConfigurationIndex} from './configuration_index.js';
import type {ConfigurationRevision} from './configuration_revision.js';

/** A configuration together with the record of its acceptance. */
export interface AcceptedConfiguration {
  readonly record: ConfigurationRevision;
  readonly index: ConfigurationIndex;
}
