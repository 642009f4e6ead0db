import {hash32} from '@greengagecross/common';
import {NeighbourPolicy, type Neighbours} from './neighbour_policy.js';

/** Default number of rings: half of `MAX_FULL_MESH_OTHERS` in heartbeat_interval.ts. */
const RING_COUNT = 2;

/**
 * Orders the daemons by hash on several rings, two by default. Each daemon sends
 * heartbeats to the next daemon on each ring and receives heartbeats from the
 * previous one. Up to twice as many other daemons as rings are all neighbours. Two neighbours use one connection for both
 * directions, and a member that joins or leaves changes only its own and its
 * neighbours' connections.
 */
export class RingNeighbours extends NeighbourPolicy {
  constructor(private readonly ringCount = RING_COUNT) {
    super();
  }

  override choose(selfId: string, others: readonly string[]): Neighbours {
    const ids = [...others, selfId];
    const targets = new Set<string>();
    const sources = new Set<string>();
    if (others.length <= 2 * this.ringCount) {
      const ring = sortRing(ids, 0);
      for (let step = 1; step <= this.ringCount; step += 1) {
        targets.add(findAt(ring, selfId, step));
        sources.add(findAt(ring, selfId, -step));
      }
    } else {
      for (let index = 0; index < this.ringCount; index += 1) {
        const ring = sortRing(ids, index);
        targets.add(findAt(ring, selfId, 1));
        sources.add(findAt(ring, selfId, -1));
      }
    }
    targets.delete(selfId);
    sources.delete(selfId);
    return {targets: [...targets], sources: [...sources]};
  }
}

function sortRing(ids: readonly string[], index: number): string[] {
  return ids
    .map(id => ({id, position: hash32(`ring ${index} ${id}`)}))
    .sort((a, b) => a.position - b.position || (a.id < b.id ? -1 : 1))
    .map(entry => entry.id);
}

function findAt(ring: readonly string[], id: string, step: number): string {
  const index = ring.indexOf(id) + step;
  return ring[(index + ring.length) % ring.length] ?? id;
}
