import {findRendezvousHome} from '@greengagecross/common';
import {
  PlacementPolicy,
  type EngineCandidate,
  type PlacementRequest,
} from './placement_policy.js';

/**
 * Tries the ticket's engine, then the chat's rendezvous home, then the others
 * from the least loaded on.
 */
export class HomePlacement extends PlacementPolicy {
  override choose(
    request: PlacementRequest,
    candidates: readonly EngineCandidate[],
  ): EngineCandidate[] {
    const ids = candidates.map(candidate => candidate.id);
    const home = findRendezvousHome(request.chatKey, ids);
    const warm = request.ticket?.engine;
    const computeRank = (candidate: EngineCandidate): number => {
      if (candidate.id === warm) return -2;
      if (candidate.id === home) return -1;
      return candidate.inFlight;
    };
    return [...candidates].sort((a, b) => computeRank(a) - computeRank(b));
  }
}
