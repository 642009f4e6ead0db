import {Effect, Result} from 'effect';
import {SeededRandom} from '@greengagecross/common';
import {
  ClaimStore,
  ClaimState,
  GroupCommit,
  type ClaimRecord,
} from '@greengagecross/daemon';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {waitUntil} from '../fleet/wait_until.js';
import {FaultyTable} from './faulty_table.js';

const BOOKS = 3;
const ATTEMPTS_PER_KEY = 8;
const RELEASE_SHARE = 0.5;
const MAX_STAGGER_MS = 60;
const DRAIN_LIMIT_MS = 30_000;

/** What became of the keys that several books raced for. */
export interface RaceResult {
  /** Most runs of one key. */
  readonly mostRuns: number;
  /** Claims that stand although their holders are done with them. */
  readonly orphans: number;
  readonly keys: number;
  readonly attempts: number;
  readonly transactions: number;
}

/** Lets several books claim the same keys over a table that loses calls. */
export async function runClaimRace(
  seed: number,
  keyCount: number,
): Promise<RaceResult> {
  const random = new SeededRandom(seed);
  const table = new FaultyTable(random);
  const runs = new Map<string, number>();
  const keys = Array.from({length: keyCount}, () =>
    makeIdempotencyKey(Date.now()),
  );
  const books = Array.from({length: BOOKS}, () => {
    const commits = new GroupCommit(table, () => 0);
    return {commits, book: new ClaimStore(commits)};
  });
  const race = Effect.gen(function* () {
    for (const {commits, book} of books) {
      yield* Effect.forkScoped(commits.run());
      yield* Effect.forkScoped(book.run());
    }
    const attempts = keys.flatMap(key =>
      Array.from({length: ATTEMPTS_PER_KEY}, (unused, index) => ({key, index})),
    );
    yield* Effect.forEach(
      attempts,
      ({key, index}) => {
        const book = books[index % BOOKS]?.book;
        if (book === undefined) return Effect.void;
        return Effect.andThen(
          Effect.sleep(random.nextInt(MAX_STAGGER_MS)),
          runAttempt(book, key, `${key}/${index}`, random, runs),
        );
      },
      {concurrency: 'unbounded'},
    );
    table.stopFaults();
    yield* Effect.promise(() =>
      waitUntil('pending claims written', DRAIN_LIMIT_MS, () =>
        books.every(({book}) => book.countPending() === 0),
      ),
    );
  });
  await Effect.runPromise(Effect.scoped(race));
  const rows = table.state.list('claim/', '', keyCount);
  const states = rows.map(row => JSON.parse(row.value) as ClaimRecord);
  return {
    mostRuns: Math.max(...keys.map(key => runs.get(key) ?? 0)),
    orphans: states.filter(row => row.state === ClaimState.CLAIMED).length,
    keys: keyCount,
    attempts: keyCount * ATTEMPTS_PER_KEY,
    transactions: table.transactions,
  };
}

/** Claims a key and either runs its work or lets it go. */
function runAttempt(
  book: ClaimStore,
  idempotencyKey: string,
  token: string,
  random: SeededRandom,
  runs: Map<string, number>,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const result = yield* Effect.result(
      book.claim({
        customer: 'customer',
        service: 'booking',
        idempotencyKey,
        requestDigest: 'digest',
        token,
        nowMs: 0,
      }),
    );
    if (Result.isFailure(result) || !result.success.isOwn) return;
    const claim = result.success;
    if (random.nextUnit() < RELEASE_SHARE) {
      yield* book.release(claim);
      return;
    }
    runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
    yield* book.record(claim, {...claim.record, state: ClaimState.DONE});
  });
}
