import {Clock, Effect} from 'effect';
import {OrderKind, type EngineControl} from '@greengagecross/backend';
import {Logger, type BackendServer} from '@greengagecross/common';
import {
  OrderStep,
  planRollout,
  type EngineStep,
  type OrderLeasePeriods,
} from '@greengagecross/decisions';
import type {LeaseStore, LoadPermitStore} from '@greengagecross/platform';
import {EngineFences} from './engine_fences.js';
import {EngineObserver} from './engine_observer.js';
import {LoadLimiter} from './load_limiter.js';
import {OrderLease} from './order_lease.js';
import type {OrderReport} from './order_report.js';
import type {OrderedService} from './ordered_service.js';

const logger = new Logger('orders');

const ORDER_KINDS: Readonly<Partial<Record<OrderStep, OrderKind>>> = {
  [OrderStep.DRAIN]: OrderKind.DRAIN,
  [OrderStep.LOAD]: OrderKind.LOAD,
  [OrderStep.ADD_ADAPTER]: OrderKind.ADD_ADAPTER,
  [OrderStep.REMOVE_ADAPTER]: OrderKind.REMOVE_ADAPTER,
  [OrderStep.SET_ROLE]: OrderKind.SET_ROLE,
  [OrderStep.RESUME]: OrderKind.RESUME,
};
const LOADING_STEPS: ReadonlySet<OrderStep> = new Set([
  OrderStep.LOAD,
  OrderStep.ADD_ADAPTER,
]);

/**
 * Holds the lease for one service's orders and sends its engines the orders
 * that bring them to the configured state, at most one to an engine per poll.
 */
export class OrderLeaseHolder {
  private readonly lease: OrderLease;
  private readonly loadLimiter: LoadLimiter;
  private readonly observer: EngineObserver;
  private readonly fences = new EngineFences();
  private sentOrders = 0;

  /** @param processName unique to this process, also across restarts. */
  constructor(
    processName: string,
    leases: LeaseStore,
    permits: LoadPermitStore,
    private readonly control: EngineControl,
    private readonly periods: OrderLeasePeriods,
  ) {
    this.lease = new OrderLease(processName, leases, periods);
    this.loadLimiter = new LoadLimiter(permits);
    this.observer = new EngineObserver(control, periods.orderTimeoutMs);
  }

  /**
   * Returns whether this daemon holds a valid lease now. An order may still
   * have to wait for those of the previous holder: see
   * `OrderLease.isOrderAllowed`.
   */
  isHolding(nowMs: number): boolean {
    return this.lease.isValid(nowMs);
  }

  /** Counts the orders sent since this holder was made. */
  countSentOrders(): number {
    return this.sentOrders;
  }

  /** Acquires or renews the lease, then sends each engine its next order. */
  runRound(service: OrderedService): Effect.Effect<void> {
    const {name} = service;
    return Effect.gen({self: this}, function* () {
      yield* this.lease.update(name).pipe(
        Effect.catch(error =>
          Effect.sync(() =>
            logger.log('The lease for orders cannot be read or written.', {
              service: name,
              error: error.message,
            }),
          ),
        ),
      );
      if (!this.lease.isValid(yield* Clock.currentTimeMillis)) return;
      const fencingNumber = this.lease.getFencingNumber();
      yield* this.loadLimiter.update(name, fencingNumber);
      yield* this.sendSteps(service);
    });
  }

  /** Releases the lease, so that the next holder need not wait for expiry. */
  release(name: string): Effect.Effect<void> {
    return this.lease.release(name);
  }

  /** Makes the report of a service; undefined without a valid lease. */
  makeReport(service: OrderedService, nowMs: number): OrderReport | undefined {
    const fencingNumber = this.lease.getFencingNumber();
    if (fencingNumber === undefined || !this.isHolding(nowMs)) return undefined;
    return {
      service: service.name,
      fencingNumber,
      modelVersion: service.desired.modelVersion,
      engines: service.engines.length,
      ...this.observer.makeSummary(service),
    };
  }

  private sendSteps(service: OrderedService): Effect.Effect<void> {
    const {desired, engines} = service;
    return Effect.gen({self: this}, function* () {
      const readEngines = yield* this.observer.update(engines);
      const observations = this.observer.getObservations(engines);
      const changes = planRollout(
        desired,
        observations,
        readEngines,
        desired.outOfWorkAtOnce,
      );
      const fencingNumber = this.lease.getFencingNumber();
      const fencingSteps = this.fences.plan(
        service,
        fencingNumber,
        observations,
        readEngines,
      );
      const changedEngines = new Set(
        changes
          .filter(change => isOrder(change.step))
          .map(change => change.engine),
      );
      const steps = [
        ...changes,
        ...fencingSteps.filter(step => !changedEngines.has(step.engine)),
      ];
      yield* this.releasePermits(service, steps);
      const servers = new Map(engines.map(server => [server.id, server]));
      for (const step of steps) {
        if (!LOADING_STEPS.has(step.step)) continue;
        if (!this.isHolding(yield* Clock.currentTimeMillis)) return;
        const granted = yield* this.loadLimiter.acquire(service, step.engine);
        // Without a permit the engine gets no order in this round.
        if (!granted) servers.delete(step.engine);
      }
      yield* Effect.forEach(
        steps,
        step => this.send(service, servers.get(step.engine), step),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  /**
   * Releases the permits of engines that load neither weights nor adapters and
   * get no order to do so in this round.
   */
  private releasePermits(
    service: OrderedService,
    steps: readonly EngineStep[],
  ): Effect.Effect<void> {
    const loading = new Set(
      steps.filter(s => LOADING_STEPS.has(s.step)).map(s => s.engine),
    );
    return Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      if (!this.isHolding(nowMs)) return Effect.void;
      return this.loadLimiter.release(
        service.name,
        engine =>
          loading.has(engine) || this.observer.isMaybeLoading(engine, nowMs),
      );
    });
  }

  private send(
    service: OrderedService,
    server: BackendServer | undefined,
    {step, value}: EngineStep,
  ): Effect.Effect<void> {
    const kind = ORDER_KINDS[step];
    if (kind === undefined || server === undefined) return Effect.void;
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const fencingNumber = this.lease.getFencingNumber();
      if (fencingNumber === undefined) return;
      if (!this.lease.isOrderAllowed(service.fencing, nowMs)) return;
      this.sentOrders += 1;
      const answer = yield* this.control
        .send(server, {kind, value, fencingNumber})
        .pipe(
          Effect.timeoutOption(this.periods.orderTimeoutMs),
          Effect.catch(() => Effect.succeedNone),
        );
      const isRefused = answer._tag === 'Some' && !answer.value.accepted;
      logger.log('An order was sent.', {
        engine: server.id,
        kind,
        value,
        fencing: fencingNumber,
        answered: answer._tag === 'Some',
        refused: isRefused,
      });
      if (answer._tag === 'Some') this.fences.add(server.id, fencingNumber);
      // An engine refuses an order only if it has received a higher number.
      if (isRefused) this.lease.removeLease();
    });
  }
}

function isOrder(step: OrderStep): boolean {
  return ORDER_KINDS[step] !== undefined;
}
