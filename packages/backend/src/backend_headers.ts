/** HTTP headers of the protocol between daemons and backend servers. */
export enum BackendHeader {
  /** Id of the attempt; it also identifies a stream to resume or cancel. */
  REQUEST_ID = 'x-request-id',
  CUSTOMER = 'x-customer',
  CHAT = 'x-chat',
  /** From 0, the most urgent, to 2. */
  PRIORITY = 'x-priority',
  /** Time left until the caller's deadline, in milliseconds. */
  DEADLINE_MS = 'x-deadline-ms',
  /** Set to `true` in a reply if the request did not run. */
  NOT_RUN = 'x-not-run',
  /** Set to `true` in a reply if the backend server is leaving the fleet. */
  LEAVING = 'x-leaving',
  /** Number of tokens of the prompt that were in the engine's cache. */
  CACHED_TOKENS = 'x-cached-tokens',
  /** Number of tokens of the prompt. */
  PROMPT_TOKENS = 'x-prompt-tokens',
}
