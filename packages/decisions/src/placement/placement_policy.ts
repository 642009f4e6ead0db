import type {EngineChoice, Ticket} from '@greengagecross/common';
import type {EngineGroup} from './engine_group.js';
import type {HashedId} from './rendezvous_hash.js';

/** Loads of the engines that this daemon assumes when it places a chat. */
export interface EngineLoads {
  /** Counts an engine's requests in flight. */
  readonly count: (engine: string) => number;
  /** Returns whether this daemon owns the engine and so counts its requests. */
  readonly isOwnedLocally: (engine: string) => boolean;
  /** Most requests that an engine may have in flight now. */
  readonly bound: number;
}

/** A chat that is to be placed. */
export interface PlacementRequest {
  /** Identifies customer and chat; the same on every daemon. */
  readonly chatKey: string;
  /** Undefined if the caller sent no valid ticket. */
  readonly ticket: Ticket | undefined;
  /** Zone that is preferred among engines of equal load. */
  readonly availabilityZone: string;
  /** In milliseconds since the epoch, like the times in tickets. */
  readonly nowMs: number;
  /**
   * Engines that the chat may move to; absent if it may move to any. The
   * engines that the ticket names are allowed in any case.
   */
  readonly eligibleEngines?: readonly HashedId[];
}

/** An engine to try, and the longest wait there for a slot. */
export interface PlacementChoice extends EngineChoice {
  readonly maxWaitMs: number;
}

/** Returns the fields of a choice that are reported to operators. */
export function toEngineChoice(choice: PlacementChoice): EngineChoice {
  const {maxWaitMs: unusedWait, ...fields} = choice;
  return fields;
}

/** Decides the order in which engines are tried for a chat. */
export abstract class PlacementPolicy {
  /** Lists a few of the group's engines, best first, each with its reason. */
  abstract choose(
    request: PlacementRequest,
    group: EngineGroup,
    loads: EngineLoads,
  ): PlacementChoice[];
}
