import {Clock, Effect, FiberMap, type Scope} from 'effect';
import {ServiceKind, type Service} from '@greengagecross/common';
import type {OrderHolder} from './order_holder.js';
import type {OrderReport} from './order_report.js';
import type {OrderedService} from './ordered_service.js';

/** What the orders need of the rest of the daemon. */
export interface OrderSurroundings {
  /** Services of the configuration in force. */
  readonly listServices: () => readonly Service[];
  /** Whether the live daemons as known here make this one give the orders. */
  readonly isHome: (service: string, nowMs: number) => boolean;
  /** Whether the platform is about to take an engine's host away. */
  readonly isLeaving: (engine: string) => boolean;
  readonly makeHolder: () => OrderHolder;
}

/**
 * Gives the orders of those services that fall to this daemon, one fiber for
 * each. That two daemons may take a service for theirs is settled by its lease.
 */
export class OrderService {
  private readonly holders = new Map<string, OrderHolder>();
  private sentBefore = 0;

  constructor(
    private readonly surroundings: OrderSurroundings,
    private readonly pollMs: number,
  ) {}

  /** Starts and ends the fibers of services as they come and go. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const fibers = yield* FiberMap.make<string>();
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const names = new Set(
          this.listOrdered()
            .map(service => service.name)
            .filter(name => this.surroundings.isHome(name, nowMs)),
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

  /** Lists how far the services are whose orders this daemon gives. */
  listReports(nowMs: number): OrderReport[] {
    return this.listOrdered().flatMap(
      service =>
        this.holders.get(service.name)?.makeReport(service, nowMs) ?? [],
    );
  }

  /** Counts engines that are not yet as they should be, as seen here. */
  countBehind(nowMs: number): number {
    return this.listReports(nowMs).reduce(
      (sum, report) => sum + report.engines - report.asWanted,
      0,
    );
  }

  /** Counts the orders that this daemon sent. */
  countSent(): number {
    const sent = [...this.holders.values()].map(holder => holder.countSent());
    return sent.reduce((sum, count) => sum + count, this.sentBefore);
  }

  private runService(name: string): Effect.Effect<void> {
    const holder = this.surroundings.makeHolder();
    this.holders.set(name, holder);
    const rounds = Effect.forever(
      Effect.andThen(
        Effect.suspend(() => {
          const service = this.listOrdered().find(s => s.name === name);
          return service === undefined ? Effect.void : holder.run(service);
        }),
        Effect.sleep(this.pollMs),
      ),
    );
    return Effect.ensuring(
      rounds,
      Effect.suspend(() => {
        this.sentBefore += holder.countSent();
        this.holders.delete(name);
        return holder.release(name);
      }),
    );
  }

  private listOrdered(): OrderedService[] {
    const ordered = this.surroundings
      .listServices()
      .filter(service => service.kind === ServiceKind.ENGINE);
    const services = new Set(
      ordered.flatMap(({name, weights}) => (weights ? [name] : [])),
    );
    return ordered.flatMap(({name, weights, fencing, backendServers}) => {
      if (weights === undefined) return [];
      const engines = backendServers.filter(
        server => !this.surroundings.isLeaving(server.id),
      );
      return [{name, engines, desired: weights, fencing, services}];
    });
  }
}
