import type {PromptPart} from '@greengagecross/decisions';
import type {OutgoingHeaders} from '@greengagecross/http';

/** One request of a client, decoded. */
export interface ClientCall {
  /** Undefined when the client sent none. */
  readonly id?: string;
  readonly host: string;
  readonly method: string;
  /** Path without its query. */
  readonly path: string;
  /** Path with its query, as it was sent. */
  readonly target: string;
  /** Key of a customer. */
  readonly credential?: string;
  /** How long the client waits, in milliseconds from its arrival. */
  readonly deadlineMs?: number;
  /** Last event of a stream that the client already has. */
  readonly lastEventId?: string;
  /** Parts of the prompt in order; empty for plain services. */
  readonly prompt: readonly PromptPart[];
  /** Headers that are passed on as they are. */
  readonly headers: OutgoingHeaders;
}
