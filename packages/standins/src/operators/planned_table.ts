import type {Effect} from 'effect';
import {
  TableService,
  type PlatformError,
  type TableRow,
  type Transaction,
  type TransactionResult,
} from '@greengagecross/platform';
import {TableState} from '../platform/table_state.js';
import type {StoreFaultPlan} from './store_fault_plan.js';

const MAX_ROWS = 10_000;

/** A table service in memory, with planned faults. */
export class PlannedTable extends TableService {
  readonly state = new TableState();
  private past: readonly TableRow[] | undefined;

  constructor(private readonly plan: StoreFaultPlan) {
    super();
  }

  override read(
    keys: readonly string[],
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return this.plan.run('read', false, () => {
      const {past} = this;
      if (past === undefined) return this.state.read(keys);
      return past.filter(row => keys.includes(row.key));
    });
  }

  /** Lists all rows as they stand, to be shown later. */
  listAll(): readonly TableRow[] {
    return this.state.list('', '', MAX_ROWS);
  }

  /** Shows readers these rows instead of those that stand. */
  setPast(rows: readonly TableRow[] | undefined): void {
    this.past = rows;
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly TableRow[], PlatformError> {
    return this.plan.run('list', false, () =>
      this.state.list(prefix, after, limit),
    );
  }

  override transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult, PlatformError> {
    return this.plan.run('transact', true, () =>
      this.state.transact(transaction),
    );
  }
}
