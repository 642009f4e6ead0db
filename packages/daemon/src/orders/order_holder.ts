import {Clock, Effect} from 'effect';
import {
  OrderKind,
  type EngineControl,
  type EngineState,
} from '@greengagecross/backend';
import {
  FencingSupport,
  Logger,
  type BackendServer,
} from '@greengagecross/common';
import {
  isOutOfWork,
  LeaseTerm,
  LeaseWatch,
  OrderStep,
  planStep,
  type DesiredEngine,
  type LeasePeriods,
} from '@greengagecross/decisions';
import type {
  LeaseStore,
  PlatformError,
  StandingLease,
} from '@greengagecross/platform';

const logger = new Logger('orders');

/** The engines of one service and what they should have loaded. */
export interface OrderedService {
  readonly name: string;
  readonly engines: readonly BackendServer[];
  readonly desired: DesiredEngine;
  readonly fencing: FencingSupport;
  /** Most engines that are out of work at once, so that loads are paced. */
  readonly maxOutOfWork: number;
}

const ORDER_KINDS: Readonly<Partial<Record<OrderStep, OrderKind>>> = {
  [OrderStep.DRAIN]: OrderKind.DRAIN,
  [OrderStep.LOAD]: OrderKind.LOAD,
  [OrderStep.ADD_ADAPTER]: OrderKind.ADD_ADAPTER,
  [OrderStep.REMOVE_ADAPTER]: OrderKind.REMOVE_ADAPTER,
  [OrderStep.SET_ROLE]: OrderKind.SET_ROLE,
  [OrderStep.RESUME]: OrderKind.RESUME,
};

interface Held {
  readonly lease: StandingLease;
  readonly term: LeaseTerm;
  /** Before this an order of the holder before may still be under way. */
  readonly quietUntilMs: number;
}

/**
 * Holds the lease of one service's orders and brings its engines to what the
 * configuration wants, one step for each engine at a time.
 */
export class OrderHolder {
  private readonly watch: LeaseWatch;
  private held: Held | undefined;

  constructor(
    /** Name of this process, of no other and of none before it. */
    private readonly self: string,
    private readonly leases: LeaseStore,
    private readonly control: EngineControl,
    private readonly periods: LeasePeriods,
  ) {
    this.watch = new LeaseWatch(periods.leaseMs);
  }

  /** Tells whether this daemon may give orders now. */
  isHolding(nowMs: number): boolean {
    return this.held?.term.isValid(nowMs) ?? false;
  }

  /** Takes or renews the lease, then takes one step for each engine. */
  run(service: OrderedService): Effect.Effect<void> {
    return Effect.andThen(
      this.updateLease(service.name).pipe(
        Effect.catch(error =>
          Effect.sync(() =>
            logger.log('The lease of orders cannot be written.', {
              service: service.name,
              error: error.message,
            }),
          ),
        ),
      ),
      this.sendSteps(service),
    );
  }

  /** Releases the lease, so that the next holder need not wait. */
  release(name: string): Effect.Effect<void> {
    const {held} = this;
    this.held = undefined;
    if (held === undefined) return Effect.void;
    return Effect.ignore(this.leases.release(name, held.lease));
  }

  private updateLease(name: string): Effect.Effect<void, PlatformError> {
    return this.held === undefined
      ? this.takeLease(name)
      : this.renewLease(name, this.held);
  }

  private takeLease(name: string): Effect.Effect<void, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const standing = yield* this.leases.read(name);
      const beforeMs = yield* Clock.currentTimeMillis;
      const holder = standing?.row.holder ?? '';
      // Its own name stands there after a reply of its own was lost.
      const isFree = holder === '' || holder === this.self;
      const version = standing?.version ?? 0;
      if (!isFree && !this.watch.observe(version, beforeMs)) return;
      const lease = yield* this.leases.take(name, this.self, standing);
      if (lease === undefined) return;
      this.held = {
        lease,
        term: new LeaseTerm(this.periods, beforeMs),
        quietUntilMs: isFree ? beforeMs : beforeMs + this.periods.orderMs,
      };
      logger.log('This daemon gives orders.', {
        service: name,
        fencing: lease.row.fencingNumber,
      });
    });
  }

  private renewLease(
    name: string,
    held: Held,
  ): Effect.Effect<void, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const beforeMs = yield* Clock.currentTimeMillis;
      const lease = yield* this.leases.renew(name, held.lease);
      if (lease === undefined) {
        this.held = undefined;
        logger.log('Another daemon gives orders now.', {service: name});
        return;
      }
      held.term.update(beforeMs);
      this.held = {...held, lease};
    });
  }

  private sendSteps(service: OrderedService): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      let outOfWork = 0;
      for (const server of service.engines) {
        if (!this.isHolding(yield* Clock.currentTimeMillis)) return;
        const state = yield* Effect.option(this.control.fetchState(server));
        if (state._tag === 'None') continue;
        const next = planStep(service.desired, state.value);
        if (isOutOfWork(next.step, state.value)) outOfWork += 1;
        const isPaced =
          next.step === OrderStep.DRAIN && outOfWork > service.maxOutOfWork;
        if (isPaced) continue;
        const kind = ORDER_KINDS[next.step];
        if (kind === undefined) continue;
        yield* this.send(service, server, state.value, kind, next.value);
      }
    });
  }

  private send(
    service: OrderedService,
    server: BackendServer,
    state: EngineState,
    kind: OrderKind,
    value: string,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const {held} = this;
      const nowMs = yield* Clock.currentTimeMillis;
      if (held === undefined || !held.term.isValid(nowMs)) return;
      // An engine that refuses old numbers needs no quiet time.
      const mustWait = service.fencing === FencingSupport.IGNORED;
      if (mustWait && nowMs < held.quietUntilMs) return;
      const {fencingNumber} = held.lease.row;
      const sent = yield* Effect.option(
        this.control.send(server, {kind, value, fencingNumber}),
      );
      logger.log('An order was sent.', {
        engine: server.id,
        kind,
        value,
        was: state.modelVersion,
        answered: sent._tag === 'Some',
      });
      if (sent._tag === 'Some' && !sent.value.accepted) this.held = undefined;
    });
  }
}
