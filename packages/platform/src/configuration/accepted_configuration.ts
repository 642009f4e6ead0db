import type {Configuration} from '@greengagecross/common';
import type {ConfigurationRevision} from './configuration_revision.js';

/** A configuration together with the record of its acceptance. */
export interface AcceptedConfiguration {
  readonly record: ConfigurationRevision;
  readonly configuration: Configuration;
}
