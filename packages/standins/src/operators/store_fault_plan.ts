import {Effect} from 'effect';
import type {SeededRandom} from '@greengagecross/common';
import {PlatformError, PlatformFailure} from '@greengagecross/platform';

const MAX_YIELDS = 4;

/** Shares of calls that fail, 0 to 1. */
export interface StoreFaultRates {
  /** Calls that never arrive. */
  readonly unreachable: number;
  /** Calls that take effect, but whose reply is lost. */
  readonly lost: number;
  /** Transactions that take effect only after their caller gave up. */
  readonly delayed: number;
}

/** No faults. */
export const NO_STORE_FAULTS: StoreFaultRates = {
  unreachable: 0,
  lost: 0,
  delayed: 0,
};

/** Brings faults about and interleaves calls, by a seed. */
export class StoreFaultPlan {
  rates: StoreFaultRates = NO_STORE_FAULTS;
  isDown = false;
  /** Calls after which the caller is killed; each kind once. */
  killBeforeCall = Infinity;
  killAfterCall = Infinity;
  /** Transaction that is held back although nothing else fails. */
  lateTransaction = Infinity;
  /** What happens just before a call. */
  beforeCall = new Map<number, Effect.Effect<unknown, Error>>();
  calls = 0;
  /** Names of the calls so far, in order. */
  readonly trace: string[] = [];
  private downFrom = Infinity;
  private downUntil = Infinity;
  private readonly late: (() => void)[] = [];

  constructor(private readonly random: SeededRandom) {}

  /** Runs a call with the planned faults. */
  run<T>(
    name: string,
    isWrite: boolean,
    call: () => T,
  ): Effect.Effect<T, PlatformError> {
    return Effect.gen({self: this}, function* () {
      const yields = Math.floor(this.random.nextUnit() * MAX_YIELDS);
      for (let at = 0; at < yields; at += 1) yield* Effect.yieldNow;
      this.calls += 1;
      this.trace.push(name);
      const at = this.calls;
      const before = this.beforeCall.get(at) ?? Effect.void;
      yield* Effect.orDie(before);
      const draw = this.random.nextUnit();
      const {unreachable, lost, delayed} = this.rates;
      if (at === this.killBeforeCall) yield* Effect.interrupt;
      const isOut = at >= this.downFrom && at < this.downUntil;
      if (this.isDown || isOut || draw < unreachable) {
        yield* Effect.fail(
          new PlatformError(PlatformFailure.UNREACHABLE, name),
        );
      }
      const fail = Effect.suspend(() =>
        Effect.fail(new PlatformError(PlatformFailure.UNCERTAIN, name)),
      );
      const isLate = draw < unreachable + delayed;
      if (isWrite && (isLate || at === this.lateTransaction)) {
        this.late.push(call);
        yield* fail;
      }
      const result = call();
      if (at === this.killAfterCall) yield* Effect.interrupt;
      if (draw < unreachable + delayed + lost) yield* fail;
      if (this.random.nextUnit() < delayed) this.applyLate();
      return result;
    });
  }

  /** Lets some calls from now on fail, after as many others. */
  planOutage(calls: number): void {
    this.downFrom = this.calls + calls;
    this.downUntil = this.downFrom + calls;
  }

  /** Ends all faults and lets late writes land. */
  setCalm(): void {
    this.rates = NO_STORE_FAULTS;
    this.isDown = false;
    this.downFrom = Infinity;
    this.killBeforeCall = Infinity;
    this.killAfterCall = Infinity;
    this.lateTransaction = Infinity;
    this.beforeCall.clear();
    this.applyLate();
  }

  /** Applies the calls that were held back. */
  applyLate(): void {
    for (const call of this.late.splice(0)) call();
  }
}
