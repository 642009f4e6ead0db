import type {RouterSettings} from '../model/router_settings.js';

/** Bandwidth of a link that the settings say nothing of: 10 Mbit/s. */
const DEFAULT_LINK_BYTES_PER_SECOND = 1_250_000;
/** Share of the link for configurations; clients' requests need the rest. */
const CONFIGURATION_SHARE = 0.5;

/** Computes the rate at which a daemon sends configurations, in bytes a second. */
export function computeUploadRate({
  linkBytesPerSecond = DEFAULT_LINK_BYTES_PER_SECOND,
}: RouterSettings): number {
  return linkBytesPerSecond * CONFIGURATION_SHARE;
}
