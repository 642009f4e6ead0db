import {hash32, PlacementReason} from '@greengagecross/common';
import {
  findHighestScore,
  PlacementPolicy,
  type EngineGroup,
  type EngineLoads,
  type PlacementChoice,
  type PlacementRequest,
} from '@greengagecross/decisions';

/** The ticket's engine, then the chat's home, then from the least loaded on. */
export class FixedOrderPlacement extends PlacementPolicy {
  override choose(
    request: PlacementRequest,
    group: EngineGroup,
    loads: EngineLoads,
  ): PlacementChoice[] {
    const warm = request.ticket?.engine;
    const home = findHighestScore(hash32(request.chatKey), group.hashedIds);
    const computeRank = (engine: string): number => {
      if (engine === warm) return -2;
      return engine === home ? -1 : loads.count(engine);
    };
    return group.ids
      .map(engine => ({engine, rank: computeRank(engine)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({engine}) => ({
        engine,
        reason: findReason(engine, warm, home),
        inFlight: loads.count(engine),
        bound: loads.bound,
        waitMs: 0,
        contextMs: 0,
        costMs: 0,
        maxWaitMs: 0,
      }));
  }
}

function findReason(
  engine: string,
  warm: string | undefined,
  home: string | undefined,
): PlacementReason {
  if (engine === warm) return PlacementReason.TICKET_WARM;
  return engine === home ? PlacementReason.PREFERRED : PlacementReason.FALLBACK;
}
