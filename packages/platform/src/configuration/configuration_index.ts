import type {Customer, Service} from '@greengagecross/common';
import type {Part} from './part.js';
import type {PartBodies} from './part_source.js';
import {TreeNode} from './tree_node.js';

/** A service with the part from which it was parsed. */
export interface ServicePart extends Part {
  readonly service: Service;
}

/** A parsed configuration with lookup of services and customers. */
export class ConfigurationIndex {
  private readonly servicesByName: ReadonlyMap<string, Service>;

  constructor(
    readonly root: Part,
    readonly services: readonly ServicePart[],
    readonly customers: TreeNode<Customer>,
  ) {
    this.servicesByName = new Map(
      services.map(({service}) => [service.name, service]),
    );
  }

  /** Finds a service by the name that callers use; undefined if absent. */
  findService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }

  /** Finds a customer by id; undefined if absent. */
  findCustomer(id: string): Customer | undefined {
    return this.customers.find(id, customer => customer.id);
  }

  /** Lists the bodies of all parts by digest, to be sent to peers. */
  listBodies(): PartBodies {
    const bodies = new Map<string, string>();
    for (const part of [this.root, ...this.services]) {
      bodies.set(part.digest, part.body);
    }
    const nodes = new Map<string, TreeNode<Customer>>();
    this.customers.addTo(nodes);
    for (const [digest, node] of nodes) bodies.set(digest, node.body);
    return bodies;
  }
}
