import type {Outcome} from '@greengagecross/common';

/** A daemon's reply as the caller read it, to its end. */
export interface CallerReply {
  /** Undefined when the reply named none. */
  readonly outcome: Outcome | undefined;
  /** Whether the answer was complete and belonged to the request. */
  readonly isCompleteAndOwn: boolean;
  /** Reported reason of a refusal or failure; empty if there is none. */
  readonly reason: string;
  /** Empty when the reply had none. */
  readonly requestId: string;
  /** Ticket for the chat's next turn, if reported. */
  readonly ticket: string | undefined;
  /** Daemon address (host:port) for the chat's next turn, if reported. */
  readonly address: string | undefined;
  /** Time from the send to the first token or body; 0 without one. */
  readonly firstTokenMs: number;
}
