/** The daemons that one daemon exchanges heartbeats with. */
export interface Neighbours {
  /** Those that it sends heartbeats to. */
  readonly targets: readonly string[];
  /** Those that send heartbeats to it, where that can be told. */
  readonly sources: readonly string[];
}

/** Decides which daemons exchange heartbeats. */
export abstract class NeighbourPolicy {
  /** Chooses a daemon's neighbours among the others that are there. */
  abstract choose(selfId: string, others: readonly string[]): Neighbours;
}
