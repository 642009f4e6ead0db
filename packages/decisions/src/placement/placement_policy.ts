import type {EngineChoice, Ticket} from '@greengagecross/common';
import type {EngineGroup} from './engine_group.js';
import type {HashedId} from './rendezvous_hash.js';

/** What is known of engines' load when a chat is placed. */
export interface EngineLoads {
  /** Counts an engine's requests in flight. */
  readonly count: (engine: string) => number;
  /** Tells whether this daemon counts the engine's requests itself. */
  readonly isOwn: (engine: string) => boolean;
  /** Most requests that an engine may carry now. */
  readonly bound: number;
}

/** A chat that is to be placed. */
export interface PlacementRequest {
  /** Customer and chat; the same on every daemon. */
  readonly chatKey: string;
  readonly ticket: Ticket | undefined;
  /** Zone that is preferred among engines otherwise equal. */
  readonly availabilityZone: string;
  readonly nowMs: number;
  /** The only engines that may newly carry the chat; absent if any may. */
  readonly engines?: readonly HashedId[];
}

/** An engine to try, and how long to wait there for a slot. */
export interface PlacementChoice extends EngineChoice {
  readonly maxWaitMs: number;
}

/** Takes what operators are told of a choice. */
export function toEngineChoice(choice: PlacementChoice): EngineChoice {
  const {maxWaitMs: unusedWait, ...told} = choice;
  return told;
}

/** Decides the order in which engines are tried for a chat. */
export abstract class PlacementPolicy {
  /** Orders a few of the group's engines, best first, each with its reason. */
  abstract choose(
    request: PlacementRequest,
    group: EngineGroup,
    loads: EngineLoads,
  ): PlacementChoice[];
}
