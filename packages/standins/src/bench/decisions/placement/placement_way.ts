import type {Ticket} from '@greengagecross/common';
import type {TraceRequest} from '../trace.js';

/** A request on its way, with what its caller keeps. */
export interface PlacedRequest extends TraceRequest {
  /** Ticket of the last answer; undefined on the first turn. */
  readonly ticket: Ticket | undefined;
  readonly sentAtMs: number;
}

/** What a way may ask of the run that drives it. */
export interface PlacementRun {
  readonly getNowMs: () => number;
  /** Starts a request on an engine; false when the engine is gone. */
  readonly start: (request: PlacedRequest, engine: string) => boolean;
  /** Refuses a request. */
  readonly refuse: (request: PlacedRequest) => void;
  readonly schedule: (delayMs: number, run: () => void) => void;
  /** Counts messages between daemons. */
  readonly countMessages: (messages: number) => void;
}

/** One way to place chats, over all daemons of a run. */
export abstract class PlacementWay {
  /** Places a request, now or after a wait. */
  abstract dispatch(request: PlacedRequest): void;

  /** Notes that a request has ended on its engine. */
  abstract finish(request: PlacedRequest, engine: string): void;

  /** Runs what daemons do with each heartbeat. */
  abstract sendHeartbeats(): void;
}
