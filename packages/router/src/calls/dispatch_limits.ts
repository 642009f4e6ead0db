/** Maximum number of attempts for one request, each at another server. */
export const MAX_TRIED_SERVERS = 3;
/**
 * Silence timeout of an attempt after which the request may not be sent again.
 * A request's deadline should be shorter, so that it ends the attempt first; this
 * is not checked.
 */
export const MAX_SILENCE_TIMEOUT_MS = 60_000;
/**
 * Retry delay sent to clients whose request no server ran; servers recover
 * within seconds.
 */
export const RETRY_AFTER_MS = 300;
