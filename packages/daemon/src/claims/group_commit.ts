import {Clock, Deferred, Effect, Latch, Result} from 'effect';
import {
  PlatformError,
  PlatformFailure,
  type TableRow,
  type TableService,
} from '@greengagecross/platform';
import {sortByStanding} from './sort_by_standing.js';

const MAX_BATCH_ROWS = 128;
const MAX_BATCH_CHARACTERS = 256 * 1024;
const MAX_WAITING_ROWS = 2000;
const TRIES = 2;

/** A row to write if it still has the version that is expected of it. */
export interface CommitEntry {
  readonly key: string;
  readonly version: number;
  /** Differs from every other value that is ever written to the row. */
  readonly value: string;
}

/** Whether an entry was written; if not, the row that stands in its place. */
export interface CommitResult {
  readonly committed: boolean;
  readonly standing: TableRow | undefined;
}

interface Waiting {
  readonly entry: CommitEntry;
  readonly done: Deferred.Deferred<CommitResult, PlatformError>;
}

const COMMITTED: CommitResult = {committed: true, standing: undefined};

/**
 * Writes the rows of many requests in one transaction.
 *
 * One transaction is in flight at a time; rows that arrive meanwhile go with
 * the next. A transaction begins at the earliest one interval after the last.
 */
export class GroupCommit {
  private waiting: Waiting[] = [];
  private readonly arrived = Latch.makeUnsafe(false);

  constructor(
    private readonly table: TableService,
    private readonly getIntervalMs: () => number,
  ) {}

  /** Counts the rows that wait. */
  countWaiting(): number {
    return this.waiting.length;
  }

  /**
   * Commits one row; fails with UNREACHABLE when it was surely not written
   * and with UNCERTAIN when it may have been or may still be.
   */
  write(entry: CommitEntry): Effect.Effect<CommitResult, PlatformError> {
    return Effect.suspend(() => {
      if (this.waiting.length >= MAX_WAITING_ROWS) {
        return Effect.fail(makeError(PlatformFailure.UNREACHABLE));
      }
      const done = Deferred.makeUnsafe<CommitResult, PlatformError>();
      this.waiting.push({entry, done});
      this.arrived.openUnsafe();
      return Deferred.await(done);
    });
  }

  /** Commits what arrives for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* this.arrived.await;
        const startMs = yield* Clock.currentTimeMillis;
        yield* this.writeBatch(this.takeBatch(), TRIES, false);
        const endMs = yield* Clock.currentTimeMillis;
        const restMs = this.getIntervalMs() - (endMs - startMs);
        if (restMs > 0) yield* Effect.sleep(restMs);
        if (this.waiting.length === 0) this.arrived.closeUnsafe();
      }
    });
  }

  /** Takes the oldest rows, one for each key at most. */
  private takeBatch(): Waiting[] {
    const batch = new Map<string, Waiting>();
    const left: Waiting[] = [];
    let characters = 0;
    for (const item of this.waiting) {
      const {key, value} = item.entry;
      const isFull =
        batch.size >= MAX_BATCH_ROWS ||
        (batch.size > 0 && characters + value.length > MAX_BATCH_CHARACTERS);
      if (isFull || batch.has(key)) {
        left.push(item);
        continue;
      }
      batch.set(key, item);
      characters += value.length;
    }
    this.waiting = left;
    return [...batch.values()];
  }

  /** @param wasUncertain whether an earlier try may have applied. */
  private writeBatch(
    batch: readonly Waiting[],
    triesLeft: number,
    wasUncertain: boolean,
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
        const rest =
          conflicts.length > 0
            ? finishShown(batch, conflicts)
            : yield* this.readBack(batch);
        const left = rest.length < batch.length ? triesLeft : triesLeft - 1;
        yield* this.tryAgain(rest, left, wasUncertain);
        return;
      }
      const {failure} = result.failure;
      if (failure !== PlatformFailure.UNCERTAIN) {
        finishAll(
          batch,
          Effect.fail(
            wasUncertain
              ? makeError(PlatformFailure.UNCERTAIN)
              : result.failure,
          ),
        );
        return;
      }
      const rest = yield* this.readBack(batch);
      yield* this.tryAgain(rest, triesLeft - 1, true);
    });
  }

  private tryAgain(
    rest: readonly Waiting[],
    triesLeft: number,
    wasUncertain: boolean,
  ): Effect.Effect<void> {
    if (triesLeft > 0) return this.writeBatch(rest, triesLeft, wasUncertain);
    const failure = makeError(PlatformFailure.UNCERTAIN);
    return Effect.sync(() => finishAll(rest, Effect.fail(failure)));
  }

  private transact(batch: readonly Waiting[]) {
    const entries = batch.map(item => item.entry);
    return this.table.transact({
      conditions: entries.map(({key, version}) => ({key, version})),
      writes: entries.map(({key, value}) => ({key, value})),
      deletes: [],
    });
  }

  /** Settles what the rows themselves tell; gives those still open. */
  private readBack(
    batch: readonly Waiting[],
  ): Effect.Effect<readonly Waiting[]> {
    return this.table.read(batch.map(item => item.entry.key)).pipe(
      Effect.map(rows => finishStanding(batch, rows)),
      Effect.catch(() => Effect.succeed(batch)),
    );
  }
}

/** Settles the entries whose rows were shown; the others stay open. */
function finishShown(
  batch: readonly Waiting[],
  rows: readonly TableRow[],
): readonly Waiting[] {
  const shown = new Set(rows.map(row => row.key));
  const found = batch.filter(item => shown.has(item.entry.key));
  finishStanding(found, rows);
  return batch.filter(item => !shown.has(item.entry.key));
}

function finishStanding(
  batch: readonly Waiting[],
  rows: readonly TableRow[],
): readonly Waiting[] {
  const sorted = sortByStanding(batch, item => item.entry, rows);
  finishAll(sorted.committed, Effect.succeed(COMMITTED));
  for (const {item, standing} of sorted.refused) {
    finishAll([item], Effect.succeed({committed: false, standing}));
  }
  return sorted.open;
}

function finishAll(
  items: readonly Waiting[],
  result: Effect.Effect<CommitResult, PlatformError>,
): void {
  for (const item of items) Deferred.doneUnsafe(item.done, result);
}

function makeError(failure: PlatformFailure): PlatformError {
  return new PlatformError(failure, 'commit of a claim');
}
