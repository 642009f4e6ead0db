import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {makeRequestId, SeededRandom} from '@greengagecross/common';
import {
  checkIdempotencyKey,
  ClaimStore,
  ClaimSweeper,
  GroupCommit,
  makeClaimKey,
  type Claim,
} from '@greengagecross/daemon';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {runClaimRace, type RaceResult} from './claim_races.js';
import {FaultyTable} from './faulty_table.js';

const MS_PER_HOUR = 3_600_000;
const MS_PER_MINUTE = 60_000;

/** State of one scenario about claims. */
interface ClaimsWorld extends World {
  race: RaceResult;
  table: FaultyTable;
  claims: Claim[];
  keyStanding: string;
  rowByHours: Map<number, string>;
}

function makeSoundTable(): FaultyTable {
  const table = new FaultyTable(new SeededRandom(1));
  table.stopFaults();
  return table;
}

function makeName(idempotencyKey: string) {
  return {customer: 'customer', service: 'booking', idempotencyKey};
}

When(
  '3 claim books race for {int} keys with seed {int}',
  async function (this: ClaimsWorld, keys: number, seed: number) {
    this.race = await runClaimRace(seed, keys);
  },
);

Then("no key's work ran more than once", function (this: ClaimsWorld) {
  assert.equal(this.race.mostRuns, 1, JSON.stringify(this.race));
});

Then('no claim is left that nobody holds', function (this: ClaimsWorld) {
  assert.equal(this.race.orphans, 0, JSON.stringify(this.race));
});

When(
  '{int} claims arrive at one claim book at once',
  async function (this: ClaimsWorld, count: number) {
    this.table = makeSoundTable();
    const commits = new GroupCommit(this.table, () => 0);
    const book = new ClaimStore(commits);
    const claiming = Effect.gen(function* () {
      yield* Effect.forkScoped(commits.run());
      return yield* Effect.forEach(
        Array.from({length: count}, makeRequestId),
        token =>
          book.claim({
            ...makeName(makeIdempotencyKey(Date.now())),
            requestDigest: 'digest',
            token,
            nowMs: 0,
          }),
        {concurrency: 'unbounded'},
      );
    });
    this.claims = await Effect.runPromise(Effect.scoped(claiming));
  },
);

Then('each of the claims stands', function (this: ClaimsWorld) {
  const rows = this.table.state.read(this.claims.map(claim => claim.key));
  assert.equal(rows.length, this.claims.length);
  assert.ok(this.claims.every(claim => claim.isOwn));
});

Then(
  'they took at most {int} transactions',
  function (this: ClaimsWorld, most: number) {
    assert.ok(this.table.transactions <= most, `${this.table.transactions}`);
  },
);

When(/^a claim's key is (.+)$/, function (this: ClaimsWorld, form: string) {
  const nowMs = Date.UTC(2026, 0, 1);
  const made = /^made (\d+) (hours ago|minutes ahead)$/.exec(form);
  const count = Number(made?.[1] ?? 0);
  const offsetMs =
    made?.[2] === 'hours ago' ? -count * MS_PER_HOUR : count * MS_PER_MINUTE;
  const keys: Readonly<Record<string, string>> = {
    'a random UUID': makeRequestId(),
    'any other text': 'reservation-17',
  };
  const key = keys[form] ?? makeIdempotencyKey(nowMs + offsetMs);
  this.keyStanding = checkIdempotencyKey(key, nowMs);
});

Then(
  /^the key is (usable|expired|malformed)$/,
  function (this: ClaimsWorld, standing: string) {
    assert.equal(this.keyStanding, standing);
  },
);

Given(
  /^claims of keys made (.+) hours ago$/,
  function (this: ClaimsWorld, list: string) {
    this.table = makeSoundTable();
    this.rowByHours = new Map();
    for (const hours of parseHours(list)) {
      const madeAtMs = Date.now() - hours * MS_PER_HOUR;
      const key = makeClaimKey(makeName(makeIdempotencyKey(madeAtMs)));
      this.rowByHours.set(hours, key);
      this.table.state.transact({
        conditions: [],
        writes: [{key, value: '{}'}],
        deletes: [],
      });
    }
  },
);

When('the claims are swept', async function (this: ClaimsWorld) {
  const sweeper = new ClaimSweeper(this.table, () => Effect.succeed(true));
  await Effect.runPromise(sweeper.removeExpired());
});

Then(
  /^the claims made (.+) hours ago are left$/,
  function (this: ClaimsWorld, list: string) {
    const left = [...this.rowByHours]
      .filter(([, key]) => this.table.state.read([key]).length > 0)
      .map(([hours]) => hours);
    assert.deepEqual(left, parseHours(list));
  },
);

function parseHours(list: string): number[] {
  return list.split(/, | and /).map(Number);
}
