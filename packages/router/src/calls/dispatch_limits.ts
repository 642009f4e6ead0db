/** Maximum number of servers tried for one request. */
export const MAX_TRIED_SERVERS = 3;
/**
 * Inactivity timeout of an attempt that may not be repeated. Every request
 * deadline is shorter and ends the attempt first.
 */
export const MAX_INACTIVITY_TIMEOUT_MS = 60_000;
/** Retry delay sent to refused clients; servers recover within seconds. */
export const RETRY_AFTER_MS = 300;
