import {Clock, Effect, FiberMap, type Scope} from 'effect';
import {ServiceKind, type Service} from '@greengagecross/common';
import type {OrderLeaseHolder} from './order_lease_holder.js';
import type {OrderReport} from './order_report.js';
import type {OrderedService} from './ordered_service.js';

/** What the order service needs from the rest of the daemon. */
export interface OrderDependencies {
  /** Lists the services of the configuration in force; empty without one. */
  readonly listServices: () => readonly Service[];
  /**
   * Returns whether rendezvous hashing over the live daemons, as known here,
   * selects this daemon for the orders of a service.
   */
  readonly isPreferredDaemon: (service: string, nowMs: number) => boolean;
  /** Returns whether the host list states that an engine's host is leaving. */
  readonly isLeaving: (engine: string) => boolean;
  readonly makeHolder: () => OrderLeaseHolder;
}

/**
 * Sends the orders of the services for which this daemon is preferred, one
 * fiber per service. While two daemons both consider themselves preferred, the
 * lease lets only one of them send orders.
 */
export class OrderService {
  private readonly holders = new Map<string, OrderLeaseHolder>();
  private sentByEndedHolders = 0;

  constructor(
    private readonly dependencies: OrderDependencies,
    private readonly pollMs: number,
  ) {}

  /** Starts and stops the fibers as the set of preferred services changes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const fibers = yield* FiberMap.make<string>();
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const names = new Set(
          this.listOrderedServices()
            .map(service => service.name)
            .filter(name => this.dependencies.isPreferredDaemon(name, nowMs)),
        );
        for (const [name] of [...fibers]) {
          if (!names.has(name)) yield* FiberMap.remove(fibers, name);
        }
        for (const name of names) {
          const work = Effect.suspend(() => this.runService(name));
          yield* FiberMap.run(fibers, name, work, {onlyIfMissing: true});
        }
        yield* Effect.sleep(this.pollMs);
      }
    });
  }

  /** Lists the reports of the services whose lease this daemon holds. */
  listReports(nowMs: number): OrderReport[] {
    return this.listOrderedServices().flatMap(
      service =>
        this.holders.get(service.name)?.makeReport(service, nowMs) ?? [],
    );
  }

  /** Counts engines that were not last observed in the desired state. */
  countEnginesNotAsWanted(nowMs: number): number {
    return this.listReports(nowMs).reduce(
      (sum, report) => sum + report.engines - report.asWanted,
      0,
    );
  }

  /** Counts the orders that this daemon sent since its start. */
  countSentOrders(): number {
    const sent = [...this.holders.values()].map(holder =>
      holder.countSentOrders(),
    );
    return sent.reduce((sum, count) => sum + count, this.sentByEndedHolders);
  }

  private runService(name: string): Effect.Effect<void> {
    const holder = this.dependencies.makeHolder();
    this.holders.set(name, holder);
    const rounds = Effect.forever(
      Effect.andThen(
        Effect.suspend(() => {
          const service = this.listOrderedServices().find(s => s.name === name);
          return service === undefined ? Effect.void : holder.runRound(service);
        }),
        Effect.sleep(this.pollMs),
      ),
    );
    return Effect.ensuring(
      rounds,
      Effect.suspend(() => {
        this.sentByEndedHolders += holder.countSentOrders();
        this.holders.delete(name);
        return holder.release(name);
      }),
    );
  }

  private listOrderedServices(): OrderedService[] {
    const ordered = this.dependencies
      .listServices()
      .filter(service => service.kind === ServiceKind.ENGINE);
    const services = new Set(
      ordered.flatMap(({name, weights}) => (weights ? [name] : [])),
    );
    return ordered.flatMap(({name, weights, fencing, backendServers}) => {
      if (weights === undefined) return [];
      const engines = backendServers.filter(
        server => !this.dependencies.isLeaving(server.id),
      );
      return [{name, engines, desired: weights, fencing, services}];
    });
  }
}
