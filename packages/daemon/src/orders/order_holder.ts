import {Clock, Effect} from 'effect';
import {OrderKind, type EngineControl} from '@greengagecross/backend';
import {Logger, type BackendServer} from '@greengagecross/common';
import {
  OrderStep,
  planRollout,
  type EngineStep,
  type LeasePeriods,
} from '@greengagecross/decisions';
import type {LeaseStore, LoadPermitStore} from '@greengagecross/platform';
import {EngineFences} from './engine_fences.js';
import {EngineSights} from './engine_sights.js';
import {LoadPacer} from './load_pacer.js';
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
 * Holds the lease of one service's orders and brings its engines to what the
 * configuration wants, one step for each engine at a time.
 */
export class OrderHolder {
  private readonly lease: OrderLease;
  private readonly pacer: LoadPacer;
  private readonly sights: EngineSights;
  private readonly fences = new EngineFences();
  private sent = 0;

  /** @param self name of this process, of no other and of none before it. */
  constructor(
    self: string,
    leases: LeaseStore,
    permits: LoadPermitStore,
    private readonly control: EngineControl,
    private readonly periods: LeasePeriods,
  ) {
    this.lease = new OrderLease(self, leases, periods);
    this.pacer = new LoadPacer(permits);
    this.sights = new EngineSights(control, periods.orderTimeoutMs);
  }

  /** Tells whether this daemon may give orders now. */
  isHolding(nowMs: number): boolean {
    return this.lease.isValid(nowMs);
  }

  /** Counts the orders that it sent. */
  countSent(): number {
    return this.sent;
  }

  /** Takes or renews the lease, then takes one step for each engine. */
  run(service: OrderedService): Effect.Effect<void> {
    const {name} = service;
    return Effect.gen({self: this}, function* () {
      yield* this.lease.update(name).pipe(
        Effect.catch(error =>
          Effect.sync(() =>
            logger.log('The lease of orders cannot be written.', {
              service: name,
              error: error.message,
            }),
          ),
        ),
      );
      if (!this.lease.isValid(yield* Clock.currentTimeMillis)) return;
      const fencingNumber = this.lease.getFencingNumber();
      yield* this.pacer.update(name, fencingNumber);
      yield* this.sendSteps(service);
    });
  }

  /** Releases the lease, so that the next holder need not wait. */
  release(name: string): Effect.Effect<void> {
    return this.lease.release(name);
  }

  /** Makes the report of a service; undefined when it may not give orders. */
  makeReport(service: OrderedService, nowMs: number): OrderReport | undefined {
    const fencingNumber = this.lease.getFencingNumber();
    if (fencingNumber === undefined || !this.isHolding(nowMs)) return undefined;
    return {
      service: service.name,
      fencingNumber,
      modelVersion: service.desired.modelVersion,
      engines: service.engines.length,
      ...this.sights.makeSummary(service),
    };
  }

  private sendSteps(service: OrderedService): Effect.Effect<void> {
    const {desired, engines} = service;
    return Effect.gen({self: this}, function* () {
      const looked = yield* this.sights.update(engines);
      const known = this.sights.get(engines);
      const changes = planRollout(
        desired,
        known,
        looked,
        desired.outOfWorkAtOnce,
      );
      const fencingNumber = this.lease.getFencingNumber();
      const fences = this.fences.plan(service, fencingNumber, known, looked);
      const changed = new Set(
        changes.filter(c => isOrder(c.step)).map(c => c.engine),
      );
      const steps = [
        ...changes,
        ...fences.filter(fence => !changed.has(fence.engine)),
      ];
      yield* this.releasePermits(service, steps);
      const servers = new Map(engines.map(server => [server.id, server]));
      for (const step of steps) {
        if (!LOADING_STEPS.has(step.step)) continue;
        if (!this.isHolding(yield* Clock.currentTimeMillis)) return;
        const granted = yield* this.pacer.acquire(service, step.engine);
        if (!granted) servers.delete(step.engine);
      }
      yield* Effect.forEach(
        steps,
        step => this.send(service, servers.get(step.engine), step),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  /** An engine gives its permit back once it was seen to have what it wants. */
  private releasePermits(
    service: OrderedService,
    steps: readonly EngineStep[],
  ): Effect.Effect<void> {
    const loading = new Set(
      steps.filter(s => LOADING_STEPS.has(s.step)).map(s => s.engine),
    );
    return Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      if (!this.isHolding(nowMs)) return Effect.void;
      return this.pacer.release(
        service.name,
        engine =>
          loading.has(engine) || this.sights.isMaybeLoading(engine, nowMs),
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
      if (!this.lease.isOrdering(service.fencing, nowMs)) return;
      this.sent += 1;
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
      if (isRefused) this.lease.remove();
    });
  }
}

function isOrder(step: OrderStep): boolean {
  return ORDER_KINDS[step] !== undefined;
}
