import {Effect} from 'effect';
import {
  ObjectStore,
  TableService,
  type TableRow,
  type Transaction,
  type TransactionResult,
} from '@greengagecross/platform';
import {listKeys} from '../platform/list_keys.js';
import {TableState} from '../platform/table_state.js';

/** The stand-in's table without a network before it. */
export class MemoryTable extends TableService {
  private readonly state = new TableState();

  override read(keys: readonly string[]): Effect.Effect<readonly TableRow[]> {
    return Effect.sync(() => this.state.read(keys));
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly TableRow[]> {
    return Effect.sync(() => this.state.list(prefix, after, limit));
  }

  override transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult> {
    return Effect.sync(() => this.state.transact(transaction));
  }
}

/** Objects without a network before them. */
export class MemoryObjects extends ObjectStore {
  private readonly objects = new Map<string, Buffer>();

  override put(key: string, body: Buffer): Effect.Effect<void> {
    return Effect.sync(() => {
      this.objects.set(key, body);
    });
  }

  override get(key: string): Effect.Effect<Buffer | undefined> {
    return Effect.sync(() => this.objects.get(key));
  }

  override list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly string[]> {
    return Effect.sync(() =>
      listKeys(this.objects.keys(), prefix, after, limit),
    );
  }

  override remove(key: string): Effect.Effect<void> {
    return Effect.sync(() => {
      this.objects.delete(key);
    });
  }
}
