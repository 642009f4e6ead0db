import {hash32} from '@greengagecross/common';

interface RingPoint {
  readonly position: number;
  readonly id: string;
}

const POINTS_PER_ENGINE = 16;
/** Draws per wanted engine before the rest is taken in ring order. */
const DRAWS_PER_ENGINE = 8;

/** Chooses the engines of each customer; few change as engines come and go. */
export class EngineRing {
  private readonly points: readonly RingPoint[];
  private readonly engineCount: number;

  constructor(engines: readonly string[]) {
    this.engineCount = engines.length;
    this.points = engines
      .flatMap(id =>
        Array.from({length: POINTS_PER_ENGINE}, (unused, index) => ({
          position: hash32(`${id}\u0000${index}`),
          id,
        })),
      )
      .sort((a, b) => a.position - b.position || (a.id < b.id ? -1 : 1));
  }

  /** Lists the engines of a customer, the same on every daemon. */
  list(customer: string, size: number): string[] {
    const wanted = Math.min(size, this.engineCount);
    const chosen = new Set<string>();
    const draws = wanted * DRAWS_PER_ENGINE;
    for (let draw = 0; draw < draws && chosen.size < wanted; draw += 1) {
      const id = this.findAfter(hash32(`${customer}\u0000${draw}`));
      if (id !== undefined) chosen.add(id);
    }
    for (const {id} of this.points) {
      if (chosen.size >= wanted) break;
      chosen.add(id);
    }
    return [...chosen];
  }

  private findAfter(position: number): string | undefined {
    let low = 0;
    let high = this.points.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.points[middle]?.position ?? 0) < position) low = middle + 1;
      else high = middle;
    }
    return (this.points[low] ?? this.points[0])?.id;
  }
}
