import {hash32} from '@greengagecross/common';

interface RingPoint {
  /** Unsigned 32-bit hash. */
  readonly position: number;
  readonly id: string;
}

const POINTS_PER_ENGINE = 16;
/**
 * Ring positions looked up for each requested engine. If these find too few
 * different engines, the rest is taken in ring order.
 */
const LOOKUPS_PER_ENGINE = 8;

/**
 * Consistent-hash ring that chooses the engines of each customer. Few of the
 * choices change when engines join and leave.
 */
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

  /**
   * Lists `size` engines for a customer, or all if there are fewer; the same on
   * every daemon.
   */
  list(customer: string, size: number): string[] {
    const targetSize = Math.min(size, this.engineCount);
    const chosen = new Set<string>();
    const lookups = targetSize * LOOKUPS_PER_ENGINE;
    for (
      let lookup = 0;
      lookup < lookups && chosen.size < targetSize;
      lookup += 1
    ) {
      const id = this.findAfter(hash32(`${customer}\u0000${lookup}`));
      if (id !== undefined) chosen.add(id);
    }
    for (const {id} of this.points) {
      if (chosen.size >= targetSize) break;
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
