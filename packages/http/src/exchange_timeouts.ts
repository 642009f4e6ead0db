import type {HttpFailure} from './http_failure.js';

/**
 * Limits of a whole exchange whose reply may be large or come over a slow link,
 * in milliseconds. Spread them into the `OutgoingRequest`.
 */
export interface ExchangeTimeouts {
  readonly connectTimeoutMs: number;
  /** From the start of the request until the head of its reply is complete. */
  readonly headTimeoutMs: number;
  /** Longest time without a byte while the body of the reply arrives. */
  readonly silenceMs: number;
  /**
   * From the start of the request until its reply is complete; ends replies that
   * trickle. A total bound rather than a minimum rate, because the rate also
   * falls while a sound reply shares its link with other transfers.
   */
  readonly totalTimeoutMs: number;
}

/** One of the limits ended an exchange. */
export class ExchangeTimeoutError extends Error {
  constructor(
    readonly failure: HttpFailure,
    message: string,
  ) {
    super(message);
  }
}
