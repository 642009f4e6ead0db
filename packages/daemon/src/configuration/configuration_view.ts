import type {Customer, Service} from '@greengagecross/common';
import type {AcceptedConfiguration} from '@greengagecross/platform';

/** One revision, indexed for the requests that read it. */
export class ConfigurationView {
  readonly revision: number;
  readonly digest: string;
  private readonly services: ReadonlyMap<string, Service>;
  private readonly customers: ReadonlyMap<string, Customer>;

  constructor(accepted: AcceptedConfiguration) {
    const {record, configuration} = accepted;
    this.revision = record.revision;
    this.digest = record.digest;
    this.services = new Map(configuration.services.map(s => [s.name, s]));
    this.customers = new Map(configuration.customers.map(c => [c.id, c]));
  }

  /** Finds a service by the name that callers use. */
  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Finds a customer by id. */
  findCustomer(id: string): Customer | undefined {
    return this.customers.get(id);
  }

  /** Lists every service. */
  listServices(): Service[] {
    return [...this.services.values()];
  }

  /** Counts the customers. */
  countCustomers(): number {
    return this.customers.size;
  }
}
