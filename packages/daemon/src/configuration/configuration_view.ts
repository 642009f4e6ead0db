import type {Customer, Service} from '@greengagecross/common';
import type {AcceptedConfiguration, PartBodies} from '@greengagecross/platform';

/** Read access to one accepted revision. */
export class ConfigurationView {
  readonly revision: number;
  readonly digest: string;
  private bodies: PartBodies | undefined;

  constructor(readonly accepted: AcceptedConfiguration) {
    this.revision = accepted.record.revision;
    this.digest = accepted.record.digest;
  }

  /** Finds a service by the name that callers use; undefined if unknown. */
  findService(name: string): Service | undefined {
    return this.accepted.index.findService(name);
  }

  /** Finds a customer by id; undefined if unknown. */
  findCustomer(id: string): Customer | undefined {
    return this.accepted.index.findCustomer(id);
  }

  /** Lists every service. */
  listServices(): Service[] {
    return this.accepted.index.services.map(part => part.service);
  }

  /** Counts the customers. */
  countCustomers(): number {
    return this.accepted.index.customers.count();
  }

  /** Returns the bodies of the revision's parts by digest, for peers. */
  getBodies(): PartBodies {
    this.bodies ??= this.accepted.index.listBodies();
    return this.bodies;
  }
}
