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

const STORE_COUNT = 3;
const ATTEMPTS_PER_KEY = 8;
const RELEASE_SHARE = 0.5;
const MAX_STAGGER_MS = 60;
const DRAIN_LIMIT_MS = 30_000;

/** Result of a race of several claim stores for the same keys. */
export interface RaceResult {
  /** Highest number of runs of any key. */
  readonly maxRunsPerKey: number;
  /** Stored claims that no attempt holds any more. */
  readonly orphanedClaims: number;
  readonly keys: number;
  readonly attempts: number;
  readonly transactions: number;
}

/** Lets several claim stores claim the same keys in a table with faults. */
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
  const stores = Array.from({length: STORE_COUNT}, () => {
    const commits = new GroupCommit(table, () => 0);
    return {commits, store: new ClaimStore(commits)};
  });
  const race = Effect.gen(function* () {
    for (const {commits, store} of stores) {
      yield* Effect.forkScoped(commits.run());
      yield* Effect.forkScoped(store.run());
    }
    const attempts = keys.flatMap(key =>
      Array.from({length: ATTEMPTS_PER_KEY}, (unused, index) => ({key, index})),
    );
    yield* Effect.forEach(
      attempts,
      ({key, index}) => {
        const store = stores[index % STORE_COUNT]?.store;
        if (store === undefined) return Effect.void;
        return Effect.andThen(
          Effect.sleep(random.nextInt(MAX_STAGGER_MS)),
          runAttempt(store, key, `${key}/${index}`, random, runs),
        );
      },
      {concurrency: 'unbounded'},
    );
    table.stopFaults();
    yield* Effect.promise(() =>
      waitUntil('pending claims written', DRAIN_LIMIT_MS, () =>
        stores.every(({store}) => store.countPending() === 0),
      ),
    );
  });
  await Effect.runPromise(Effect.scoped(race));
  const rows = table.state.list('claim/', '', keyCount);
  const records = rows.map(row => JSON.parse(row.value) as ClaimRecord);
  return {
    maxRunsPerKey: Math.max(...keys.map(key => runs.get(key) ?? 0)),
    orphanedClaims: records.filter(row => row.state === ClaimState.CLAIMED)
      .length,
    keys: keyCount,
    attempts: keyCount * ATTEMPTS_PER_KEY,
    transactions: table.transactionCount,
  };
}

/** Claims a key, then either releases the claim or runs the key's work. */
function runAttempt(
  store: ClaimStore,
  idempotencyKey: string,
  token: string,
  random: SeededRandom,
  runs: Map<string, number>,
): Effect.Effect<void> {
  return Effect.gen(function* () {
    const result = yield* Effect.result(
      store.claim({
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
      yield* store.release(claim);
      return;
    }
    runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1);
    yield* store.record(claim, {...claim.record, state: ClaimState.DONE});
  });
}
