import {Effect} from 'effect';
import {TestClock} from 'effect/testing';
import {
  BackendError,
  BackendFailure,
  EngineControl,
  type EngineState,
  type FencedOrder,
  type OrderAnswer,
} from '@greengagecross/backend';
import {FencingSupport, type BackendServer} from '@greengagecross/common';
import {OrderLeaseHolder, type OrderedService} from '@greengagecross/daemon';
import {
  LeaseStore,
  LoadPermitStore,
  PlatformError,
  PlatformFailure,
  TableService,
  type TableRow,
  type Transaction,
  type TransactionResult,
} from '@greengagecross/platform';
import {TableState} from '../platform/table_state.js';
import {OrderedEngine} from './ordered_engine.js';

const PERIODS = {leaseMs: 9000, orderTimeoutMs: 2000};
/** Shorter than a load, so that every state of an engine is seen. */
const RUN_MS = 100;
const MAX_OUT_OF_WORK = 2;

/** Faults of the table as a scenario sets them. */
export enum TableFault {
  NONE = 'none',
  DOWN = 'down',
  REPLIES_LOST = 'replies-lost',
}

/** A table in memory that is down or loses replies on request. */
export class SwitchedTable extends TableService {
  fault = TableFault.NONE;
  private readonly state = new TableState();

  override read(
    keys: readonly string[],
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return Effect.suspend(() =>
      this.fault === TableFault.DOWN
        ? Effect.fail(makeError(PlatformFailure.UNREACHABLE))
        : Effect.succeed(this.state.read(keys)),
    );
  }

  override list(): Effect.Effect<readonly TableRow[], PlatformError> {
    return Effect.succeed([]);
  }

  override transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult, PlatformError> {
    return Effect.suspend(() => {
      if (this.fault === TableFault.DOWN) {
        return Effect.fail(makeError(PlatformFailure.UNREACHABLE));
      }
      const result = this.state.transact(transaction);
      return this.fault === TableFault.REPLIES_LOST
        ? Effect.fail(makeError(PlatformFailure.UNCERTAIN))
        : Effect.succeed(result);
    });
  }
}

/** Engines in memory; an order of one holder may be kept under way. */
export class MemoryControl extends EngineControl {
  delayed: {readonly server: string; readonly order: FencedOrder}[] = [];
  isDelaying = false;

  constructor(
    private readonly engines: ReadonlyMap<string, OrderedEngine>,
    private readonly getNowMs: () => number,
  ) {
    super();
  }

  override fetchState(
    server: BackendServer,
  ): Effect.Effect<EngineState, BackendError> {
    return Effect.suspend(() => {
      const engine = this.engines.get(server.id);
      return engine === undefined
        ? Effect.fail(new BackendError(BackendFailure.NOT_SENT, server.id))
        : Effect.succeed(engine.getState(this.getNowMs()));
    });
  }

  override send(
    server: BackendServer,
    order: FencedOrder,
  ): Effect.Effect<OrderAnswer, BackendError> {
    return Effect.suspend(() => {
      if (this.isDelaying) {
        this.delayed.push({server: server.id, order});
        return Effect.fail(new BackendError(BackendFailure.SILENT, server.id));
      }
      const accepted = this.apply(server.id, order);
      return Effect.succeed({accepted});
    });
  }

  /** Lets the orders that were under way arrive. */
  sendDelayed(): void {
    for (const {server, order} of this.delayed) this.apply(server, order);
    this.delayed = [];
  }

  private apply(server: string, order: FencedOrder): boolean {
    return this.engines.get(server)?.apply(order, this.getNowMs()) ?? false;
  }
}

/** Order holders of several daemons over one table, in virtual time. */
export class OrdersHarness {
  readonly table = new SwitchedTable();
  readonly engines = new Map<string, OrderedEngine>();
  readonly controls: MemoryControl[] = [];
  readonly holders: OrderLeaseHolder[] = [];
  /** Holders that do not run now, by index. */
  readonly paused = new Set<number>();
  desiredVersion = 'v1';
  mostOutOfWork = 0;
  mostHolding = 0;
  nowMs = 0;
  private readonly service: Omit<OrderedService, 'desired'>;

  constructor(holders: number, engines: number, isFencing: boolean) {
    const ids = Array.from({length: engines}, (unused, i) => `engine-${i}`);
    for (const id of ids) {
      this.engines.set(id, new OrderedEngine('v1', isFencing));
    }
    this.service = {
      name: 'assistant',
      engines: ids.map(id => ({
        id,
        host: '127.0.0.1',
        port: 1,
        availabilityZone: 'a',
      })),
      fencing: isFencing ? FencingSupport.ENFORCED : FencingSupport.IGNORED,
      services: new Set(['assistant']),
    };
    const leases = new LeaseStore(this.table);
    const permits = new LoadPermitStore(this.table);
    for (let index = 0; index < holders; index += 1) {
      const control = new MemoryControl(this.engines, () => this.nowMs);
      this.controls.push(control);
      this.holders.push(
        new OrderLeaseHolder(
          `daemon-${index}`,
          leases,
          permits,
          control,
          PERIODS,
        ),
      );
    }
  }

  /** Runs the holders in turn; `onTick` brings about what happens when. */
  run(seconds: number, onTick: (atMs: number) => void): Promise<void> {
    const ticks = (seconds * 1000) / RUN_MS;
    const work = Effect.gen({self: this}, function* () {
      for (let tick = 0; tick < ticks; tick += 1) {
        onTick(tick * RUN_MS);
        this.finishRequests();
        for (const [index, holder] of this.holders.entries()) {
          if (this.paused.has(index)) continue;
          yield* holder.runRound({...this.service, desired: this.getDesired()});
          this.observe();
        }
        yield* TestClock.adjust(RUN_MS);
        this.nowMs += RUN_MS;
      }
    });
    return Effect.runPromise(
      work.pipe(Effect.provide(TestClock.layer()), Effect.scoped),
    );
  }

  private getDesired() {
    return {
      modelVersion: this.desiredVersion,
      adapters: [],
      role: '',
      outOfWorkAtOnce: MAX_OUT_OF_WORK,
      loadsAtOnce: MAX_OUT_OF_WORK,
    };
  }

  /** A request ends a while after its engine takes no new work. */
  private finishRequests(): void {
    for (const engine of this.engines.values()) {
      if (engine.getState(this.nowMs).isDraining) engine.inFlight = 0;
    }
  }

  private observe(): void {
    const states = [...this.engines.values()].map(e => e.getState(this.nowMs));
    const outOfWork = states.filter(state => state.isDraining).length;
    this.mostOutOfWork = Math.max(this.mostOutOfWork, outOfWork);
    const holding = this.holders.filter(h => h.isHolding(this.nowMs)).length;
    this.mostHolding = Math.max(this.mostHolding, holding);
  }
}

function makeError(failure: PlatformFailure): PlatformError {
  return new PlatformError(failure, 'call of a switched table');
}
