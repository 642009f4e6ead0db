import type {Address} from '@greengagecross/common';

/** Header names and values to send. */
export type OutgoingHeaders = Readonly<Record<string, string>>;

/** One request to another process. */
export interface OutgoingRequest {
  readonly address: Address;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly headers?: OutgoingHeaders;
  readonly body?: string | Buffer;
  readonly connectTimeoutMs: number;
  /** Longest time without a byte from the other end. */
  readonly silenceMs: number;
  /** Largest body that is read whole, in bytes. */
  readonly maxReplyBytes?: number;
}
