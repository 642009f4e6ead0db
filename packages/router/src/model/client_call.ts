import type {PromptPart} from '@greengagecross/decisions';
import type {OutgoingHeaders} from '@greengagecross/http';

/** What decides whether a client request is admitted. */
export interface CallAddress {
  /** Request id; undefined when the client sent none. */
  readonly id?: string;
  readonly host: string;
  /** Path without the query string. */
  readonly path: string;
  /** API key of a customer; undefined when the client sent none. */
  readonly apiKey?: string;
}

/** One decoded client request. */
export interface ClientCall extends CallAddress {
  readonly method: string;
  /** Path and query string, unchanged. */
  readonly target: string;
  /**
   * Time that the client waits for the answer, in milliseconds from the sending
   * of the request; undefined when the client set no deadline.
   */
  readonly timeoutMs?: number;
  /** Id of the last stream event that the client has received, if any. */
  readonly lastEventId?: string;
  /** Prompt parts in order; empty for services without prompts. */
  readonly prompt: readonly PromptPart[];
  /** Headers that are forwarded unchanged. */
  readonly headers: OutgoingHeaders;
}
