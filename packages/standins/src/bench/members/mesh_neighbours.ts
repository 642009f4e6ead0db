import {NeighbourPolicy, type Neighbours} from '@greengagecross/decisions';

/** Baseline: everyone exchanges heartbeats with everyone, each pair once. */
export class MeshNeighbours extends NeighbourPolicy {
  override choose(selfId: string, others: readonly string[]): Neighbours {
    return {
      targets: others.filter(id => id > selfId),
      sources: others.filter(id => id < selfId),
    };
  }
}

/** Baseline: as the mesh, with both ends of each pair sending. */
export class DoubleMeshNeighbours extends NeighbourPolicy {
  override choose(selfId: string, others: readonly string[]): Neighbours {
    return {targets: [...others], sources: []};
  }
}
