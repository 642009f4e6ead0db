import {
  computeCustomerShare,
  isSplitOverDaemons,
} from '../limits/customer_share.js';
import type {EngineGroup} from './engine_group.js';
import {EngineRing} from './engine_ring.js';
import {makeHashedIds, type HashedId} from './rendezvous_hash.js';

/** The engines that one customer's chats are placed on. */
export interface CustomerEngineSubset {
  readonly engines: readonly HashedId[];
  /** Most requests that the customer may have in flight on one engine. */
  readonly maxInFlightPerEngine: number;
}

/** Chooses a few engines for each customer whose limit is small. */
export class CustomerEngineSelector {
  private readonly rings = new WeakMap<EngineGroup, EngineRing>();
  /** For each group, the chosen engines, keyed by limit and customer. */
  private readonly subsets = new WeakMap<
    EngineGroup,
    Map<string, CustomerEngineSubset>
  >();

  /**
   * Finds the engines of a customer, the same on every daemon; undefined if
   * each daemon enforces an equal part of the limit and any engine may be used.
   */
  find(
    customer: string,
    maxInFlight: number,
    group: EngineGroup,
    daemonCount: number,
  ): CustomerEngineSubset | undefined {
    if (isSplitOverDaemons(maxInFlight, daemonCount)) return undefined;
    const subsets = this.getSubsets(group);
    const key = `${maxInFlight} ${customer}`;
    const found = subsets.get(key) ?? this.choose(customer, maxInFlight, group);
    subsets.set(key, found);
    return found;
  }

  private choose(
    customer: string,
    maxInFlight: number,
    group: EngineGroup,
  ): CustomerEngineSubset {
    const share = computeCustomerShare(maxInFlight, group.ids.length);
    const ids = this.getRing(group).list(customer, share.subsetSize);
    return {
      engines: makeHashedIds(ids),
      maxInFlightPerEngine: share.maxInFlightPerEngine,
    };
  }

  private getSubsets(group: EngineGroup): Map<string, CustomerEngineSubset> {
    const existing = this.subsets.get(group);
    if (existing !== undefined) return existing;
    const added = new Map<string, CustomerEngineSubset>();
    this.subsets.set(group, added);
    return added;
  }

  private getRing(group: EngineGroup): EngineRing {
    const existing = this.rings.get(group);
    if (existing !== undefined) return existing;
    const ring = new EngineRing(group.ids);
    this.rings.set(group, ring);
    return ring;
  }
}
