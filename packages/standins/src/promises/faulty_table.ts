import {Effect} from 'effect';
import type {SeededRandom} from '@greengagecross/common';
import {
  PlatformError,
  PlatformFailure,
  TableService,
  type TableRow,
  type Transaction,
  type TransactionResult,
} from '@greengagecross/platform';
import {TableState} from '../platform/table_state.js';

const FAULT_SHARE = 0.4;
const MAX_DELAY_CALLS = 12;

/** Fault of one call. */
enum CallFault {
  /** The call never arrives, and the error says that it had no effect. */
  UNREACHABLE = 'unreachable',
  /** The call never arrives; the error leaves open whether it had an effect. */
  LOST = 'lost',
  /** The call takes effect; its reply is lost. */
  REPLY_LOST = 'reply-lost',
  /** The call fails for its sender but takes effect some calls later. */
  DELAYED = 'delayed',
}

/** An in-memory table whose calls are lost or delayed, chosen at random. */
export class FaultyTable extends TableService {
  readonly state = new TableState();
  transactionCount = 0;
  private isFaulty = true;
  private delayed: {callsLeft: number; transaction: Transaction}[] = [];

  constructor(private readonly random: SeededRandom) {
    super();
  }

  /** Ends the faults and applies all delayed transactions. */
  stopFaults(): void {
    this.isFaulty = false;
    for (const {transaction} of this.delayed) this.state.transact(transaction);
    this.delayed = [];
  }

  override read(
    keys: readonly string[],
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return this.answer(
      () => this.state.read(keys),
      () => undefined,
    );
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return Effect.sync(() => this.state.list(prefix, after, limit));
  }

  override transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult, PlatformError> {
    this.transactionCount += 1;
    return this.answer(
      () => this.state.transact(transaction),
      () =>
        this.delayed.push({
          callsLeft: 1 + this.random.nextInt(MAX_DELAY_CALLS),
          transaction,
        }),
    );
  }

  private answer<T>(
    apply: () => T,
    delay: () => void,
  ): Effect.Effect<T, PlatformError> {
    return Effect.andThen(
      Effect.yieldNow,
      Effect.suspend(() => {
        this.applyDelayed();
        switch (this.chooseFault()) {
          case undefined:
            return Effect.succeed(apply());
          case CallFault.UNREACHABLE:
            return Effect.fail(makeError(PlatformFailure.UNREACHABLE));
          case CallFault.LOST:
            break;
          case CallFault.REPLY_LOST:
            apply();
            break;
          case CallFault.DELAYED:
            delay();
            break;
        }
        return Effect.fail(makeError(PlatformFailure.UNCERTAIN));
      }),
    );
  }

  private chooseFault(): CallFault | undefined {
    if (!this.isFaulty) return undefined;
    if (this.random.nextUnit() >= FAULT_SHARE) return undefined;
    return this.random.choose(Object.values(CallFault));
  }

  private applyDelayed(): void {
    for (const call of this.delayed) call.callsLeft -= 1;
    const due = this.delayed.filter(call => call.callsLeft <= 0);
    this.delayed = this.delayed.filter(call => call.callsLeft > 0);
    for (const {transaction} of due) this.state.transact(transaction);
  }
}

function makeError(failure: PlatformFailure): PlatformError {
  return new PlatformError(failure, 'call of the faulty table');
}
