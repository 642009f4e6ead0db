import type {PlacementRules, Ticket} from '@greengagecross/common';

/** An engine that may take a request, with what is known of its load. */
export interface EngineCandidate {
  readonly id: string;
  readonly availabilityZone: string;
  readonly inFlight: number;
}

/** A chat that is to be placed. */
export interface PlacementRequest {
  /** Customer and chat; the same on every daemon. */
  readonly chatKey: string;
  readonly ticket: Ticket | undefined;
  readonly rules: PlacementRules;
  readonly nowMs: number;
}

/** Decides the order in which engines are tried for a chat. */
export abstract class PlacementPolicy {
  /** Orders the candidates, best first. */
  abstract choose(
    request: PlacementRequest,
    candidates: readonly EngineCandidate[],
  ): EngineCandidate[];
}
