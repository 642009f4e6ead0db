/** Headers between daemons and backend servers. */
export enum BackendHeader {
  /** The attempt's id; a stream is resumed or cancelled by it. */
  REQUEST_ID = 'x-request-id',
  CUSTOMER = 'x-customer',
  CHAT = 'x-chat',
  /** 0 is the most urgent. */
  PRIORITY = 'x-priority',
  DEADLINE_MS = 'x-deadline-ms',
  /** Set to `true` on a reply which says that the request did not run. */
  NOT_RUN = 'x-not-run',
  /** Set to `true` by a backend server that is leaving. */
  LEAVING = 'x-leaving',
  /** Tokens of the prompt that were found in the engine's cache. */
  CACHED_TOKENS = 'x-cached-tokens',
  PROMPT_TOKENS = 'x-prompt-tokens',
}
