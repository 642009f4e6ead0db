/** The daemons that one daemon exchanges heartbeats with: its neighbours. */
export interface Neighbours {
  /** Ids of the daemons that it sends heartbeats to. */
  readonly targets: readonly string[];
  /**
   * Ids of the daemons that send heartbeats to it; empty if the policy does not
   * determine them.
   */
  readonly sources: readonly string[];
}

/** Decides which daemons exchange heartbeats. */
export abstract class NeighbourPolicy {
  /** Chooses a daemon's neighbours among the ids of the other daemons. */
  abstract choose(selfId: string, others: readonly string[]): Neighbours;
}
