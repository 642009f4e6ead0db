import type {HttpExchange} from '@greengagecross/http';
import type {ClientCall} from '../model/client_call.js';
import type {Route} from '../model/route.js';

/** One request that was admitted, with all that its dispatch needs. */
export interface CallJob {
  readonly exchange: HttpExchange;
  readonly call: ClientCall;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  /** Name of the customer that the key belongs to. */
  readonly customer: string | undefined;
  readonly priority: number;
  /** When its final answer is due, by the steady clock. */
  readonly dueAtMs: number;
  /** Equal for requests that are sent again unchanged. */
  readonly fingerprint: string;
  readonly trace: CallTrace;
}

/** What happened to a request so far, for its log line. */
export interface CallTrace {
  attempts: string[];
  /** Whether some server may have run it. */
  mayHaveRun: boolean;
  /** Why its server was chosen; empty where no prompt was placed. */
  placement: string;
  /** When a stream's first event was passed on, by the steady clock. */
  firstEventAtMs?: number;
  /** Longest time between two events of a stream, in milliseconds. */
  longestPauseMs?: number;
}
