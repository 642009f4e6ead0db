import {
  computeCustomerShare,
  isSplitOverDaemons,
} from '../limits/customer_share.js';
import type {EngineGroup} from './engine_group.js';
import {EngineRing} from './engine_ring.js';
import {makeHashedIds, type HashedId} from './rendezvous_hash.js';

/** The engines that carry one customer's chats. */
export interface EnginesOfCustomer {
  readonly engines: readonly HashedId[];
  /** Most requests of the customer in flight on one engine. */
  readonly perEngine: number;
}

/** Chooses the few engines that carry a customer whose limit is small. */
export class CustomerEngines {
  private readonly rings = new WeakMap<EngineGroup, EngineRing>();
  private readonly known = new WeakMap<
    EngineGroup,
    Map<string, EnginesOfCustomer>
  >();

  /**
   * Finds the engines of a customer, the same on every daemon; undefined when
   * daemons hold its limit by equal parts and any engine may carry it.
   */
  find(
    customer: string,
    maxInFlight: number,
    group: EngineGroup,
    daemonCount: number,
  ): EnginesOfCustomer | undefined {
    if (isSplitOverDaemons(maxInFlight, daemonCount)) return undefined;
    const known = this.findKnown(group);
    const key = `${maxInFlight} ${customer}`;
    const found = known.get(key) ?? this.choose(customer, maxInFlight, group);
    known.set(key, found);
    return found;
  }

  private choose(
    customer: string,
    maxInFlight: number,
    group: EngineGroup,
  ): EnginesOfCustomer {
    const share = computeCustomerShare(maxInFlight, group.ids.length);
    const ids = this.findRing(group).list(customer, share.subsetSize);
    return {engines: makeHashedIds(ids), perEngine: share.perEngine};
  }

  private findKnown(group: EngineGroup): Map<string, EnginesOfCustomer> {
    const known = this.known.get(group);
    if (known !== undefined) return known;
    const added = new Map<string, EnginesOfCustomer>();
    this.known.set(group, added);
    return added;
  }

  private findRing(group: EngineGroup): EngineRing {
    const known = this.rings.get(group);
    if (known !== undefined) return known;
    const ring = new EngineRing(group.ids);
    this.rings.set(group, ring);
    return ring;
  }
}
