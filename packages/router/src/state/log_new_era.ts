import {Logger} from '@greengagecross/common';
import type {StoreVersion} from './store_version.js';

const logger = new Logger('backends');

/** Logs that the list of backend servers is of a new era of the store. */
export function logNewEra(
  {era, revision}: StoreVersion,
  before: StoreVersion,
): void {
  logger.log('The list of backend servers has a new store era.', {
    era,
    revision,
    eraBefore: before.era,
    revisionBefore: before.revision,
  });
}
