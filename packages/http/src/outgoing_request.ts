import type {Address} from '@greengagecross/common';

/** Header names and values to send. */
export type OutgoingHeaders = Readonly<Record<string, string>>;

/** How a reply names the request that it answers. */
export interface ReplyId {
  /** Name of the header, in lower case. */
  readonly header: string;
  /** Its value in replies to the request. */
  readonly value: string;
}

/** Request to another process. */
export interface OutgoingRequest {
  readonly address: Address;
  readonly method: string;
  /** Path with its query string. */
  readonly path: string;
  readonly headers?: OutgoingHeaders;
  readonly body?: string | Buffer;
  /** Undefined if replies name no request. */
  readonly replyId?: ReplyId;
  readonly connectTimeoutMs: number;
  /**
   * Silence timeout: longest time without a byte from the other end. With a
   * `headTimeoutMs`, silence counts only once the head of the reply is complete.
   */
  readonly silenceMs: number;
  /** See `ExchangeTimeouts`. */
  readonly headTimeoutMs?: number;
  /** See `ExchangeTimeouts`. */
  readonly totalTimeoutMs?: number;
  /**
   * Asked once the silence timeout has passed, and repeatedly from then on: the
   * request goes on while it returns false. By default it ends.
   */
  readonly mayEndSilent?: () => boolean;
  /** Called by `send` once the head of the reply is complete. */
  readonly onHead?: () => void;
  /** Largest reply body that `send` reads, in bytes. */
  readonly maxReplyBytes?: number;
}
