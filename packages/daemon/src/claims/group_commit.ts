import {Clock, Deferred, Effect, Latch, Result} from 'effect';
import {
  PlatformError,
  PlatformFailure,
  type TableRow,
  type TableService,
} from '@greengagecross/platform';
import {sortByCurrentRow} from './sort_by_current_row.js';

const MAX_BATCH_WRITES = 128;
const MAX_BATCH_CHARACTERS = 256 * 1024;
const MAX_WAITING_WRITES = 2000;
/**
 * Maximum number of tries for a batch. A refused transaction that decided at
 * least one of the writes is not counted.
 */
const MAX_TRIES = 2;

/**
 * A conditional write: applied only if the row still has `version`, or is
 * absent in the case of `ABSENT_VERSION`.
 */
export interface ConditionalWrite {
  readonly key: string;
  readonly version: number;
  /**
   * Must differ from every other value ever written to the row, so that the
   * row shows whether a write of uncertain outcome was applied.
   */
  readonly value: string;
}

/**
 * Result of a conditional write. `currentRow` is the row that conflicted with
 * the write; undefined when the write was committed or the row is absent.
 */
export interface WriteResult {
  readonly committed: boolean;
  readonly currentRow: TableRow | undefined;
}

interface WaitingWrite {
  readonly write: ConditionalWrite;
  readonly done: Deferred.Deferred<WriteResult, PlatformError>;
}

const COMMITTED: WriteResult = {committed: true, currentRow: undefined};

/**
 * Commits the writes of many requests in one transaction.
 *
 * At most one transaction is in flight; writes that arrive meanwhile wait for a
 * later transaction. Batches start at least one interval apart.
 */
export class GroupCommit {
  private waiting: WaitingWrite[] = [];
  private readonly hasWaiting = Latch.makeUnsafe(false);

  constructor(
    private readonly table: TableService,
    private readonly getIntervalMs: () => number,
  ) {}

  /** Counts the writes that wait for a transaction. */
  countWaiting(): number {
    return this.waiting.length;
  }

  /**
   * Commits one write. Fails with UNREACHABLE when the write was definitely not
   * applied, also when too many writes wait already, and with UNCERTAIN when the
   * write may have been applied or may still be. Other failures of the table
   * service are passed on, unless an earlier try may have been applied: then the
   * write fails with UNCERTAIN.
   */
  write(write: ConditionalWrite): Effect.Effect<WriteResult, PlatformError> {
    return Effect.suspend(() => {
      if (this.waiting.length >= MAX_WAITING_WRITES) {
        return Effect.fail(makeError(PlatformFailure.UNREACHABLE));
      }
      const done = Deferred.makeUnsafe<WriteResult, PlatformError>();
      this.waiting.push({write, done});
      this.hasWaiting.openUnsafe();
      return Deferred.await(done);
    });
  }

  /** Commits waiting writes for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* this.hasWaiting.await;
        const startMs = yield* Clock.currentTimeMillis;
        yield* this.writeBatch(this.takeBatch(), MAX_TRIES, false);
        const endMs = yield* Clock.currentTimeMillis;
        const remainingMs = this.getIntervalMs() - (endMs - startMs);
        if (remainingMs > 0) yield* Effect.sleep(remainingMs);
        if (this.waiting.length === 0) this.hasWaiting.closeUnsafe();
      }
    });
  }

  /** Takes the oldest waiting writes, at most one for each key. */
  private takeBatch(): WaitingWrite[] {
    const batch = new Map<string, WaitingWrite>();
    const remaining: WaitingWrite[] = [];
    let characters = 0;
    for (const waiting of this.waiting) {
      const {key, value} = waiting.write;
      const isFull =
        batch.size >= MAX_BATCH_WRITES ||
        (batch.size > 0 && characters + value.length > MAX_BATCH_CHARACTERS);
      if (isFull || batch.has(key)) {
        remaining.push(waiting);
        continue;
      }
      batch.set(key, waiting);
      characters += value.length;
    }
    this.waiting = remaining;
    return [...batch.values()];
  }

  /**
   * Writes a batch in one transaction and finishes every write of the batch,
   * with further transactions for writes that remain undecided.
   *
   * @param mayBeApplied whether an earlier try may have been applied.
   */
  private writeBatch(
    batch: readonly WaitingWrite[],
    triesLeft: number,
    mayBeApplied: boolean,
  ): Effect.Effect<void> {
    if (batch.length === 0) return Effect.void;
    return Effect.gen({self: this}, function* () {
      const result = yield* Effect.result(this.transact(batch));
      if (Result.isSuccess(result)) {
        if (result.success.committed) {
          finishAll(batch, Effect.succeed(COMMITTED));
          return;
        }
        const {conflicts} = result.success;
        const undecided =
          conflicts.length > 0
            ? finishReported(batch, conflicts)
            : yield* this.readBack(batch);
        // A refused transaction that decided some writes is not counted.
        const nextTriesLeft =
          undecided.length < batch.length ? triesLeft : triesLeft - 1;
        yield* this.writeAgain(undecided, nextTriesLeft, mayBeApplied);
        return;
      }
      const {failure} = result.failure;
      if (failure !== PlatformFailure.UNCERTAIN) {
        finishAll(
          batch,
          Effect.fail(
            mayBeApplied
              ? makeError(PlatformFailure.UNCERTAIN)
              : result.failure,
          ),
        );
        return;
      }
      const undecided = yield* this.readBack(batch);
      yield* this.writeAgain(undecided, triesLeft - 1, true);
    });
  }

  private writeAgain(
    batch: readonly WaitingWrite[],
    triesLeft: number,
    mayBeApplied: boolean,
  ): Effect.Effect<void> {
    if (triesLeft > 0) return this.writeBatch(batch, triesLeft, mayBeApplied);
    const failure = makeError(PlatformFailure.UNCERTAIN);
    return Effect.sync(() => finishAll(batch, Effect.fail(failure)));
  }

  private transact(batch: readonly WaitingWrite[]) {
    const writes = batch.map(waiting => waiting.write);
    return this.table.transact({
      conditions: writes.map(({key, version}) => ({key, version})),
      writes: writes.map(({key, value}) => ({key, value})),
      deletes: [],
    });
  }

  /**
   * Reads the rows back and finishes the writes whose outcome they show.
   * Returns the undecided writes: all of them when the read fails.
   */
  private readBack(
    batch: readonly WaitingWrite[],
  ): Effect.Effect<readonly WaitingWrite[]> {
    return this.table.read(batch.map(waiting => waiting.write.key)).pipe(
      Effect.map(rows => finishByCurrentRows(batch, rows)),
      Effect.catch(() => Effect.succeed(batch)),
    );
  }
}

/** Finishes the writes whose rows were reported; returns the others. */
function finishReported(
  batch: readonly WaitingWrite[],
  rows: readonly TableRow[],
): readonly WaitingWrite[] {
  const reported = new Set(rows.map(row => row.key));
  const found = batch.filter(waiting => reported.has(waiting.write.key));
  finishByCurrentRows(found, rows);
  return batch.filter(waiting => !reported.has(waiting.write.key));
}

/** Finishes the writes that their current rows decide; returns the others. */
function finishByCurrentRows(
  batch: readonly WaitingWrite[],
  rows: readonly TableRow[],
): readonly WaitingWrite[] {
  const sorted = sortByCurrentRow(batch, waiting => waiting.write, rows);
  finishAll(sorted.committed, Effect.succeed(COMMITTED));
  for (const {item, currentRow} of sorted.refused) {
    finishAll([item], Effect.succeed({committed: false, currentRow}));
  }
  return sorted.undecided;
}

function finishAll(
  batch: readonly WaitingWrite[],
  result: Effect.Effect<WriteResult, PlatformError>,
): void {
  for (const waiting of batch) Deferred.doneUnsafe(waiting.done, result);
}

function makeError(failure: PlatformFailure): PlatformError {
  return new PlatformError(failure, 'commit of a claim');
}
