import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {makeRandomId, SeededRandom} from '@greengagecross/common';
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

/** Fixture of a scenario about claims of idempotency keys. */
interface ClaimsWorld extends World {
  race: RaceResult;
  table: FaultyTable;
  claims: Claim[];
  keyStatus: string;
  rowKeyByAgeHours: Map<number, string>;
}

function makeFaultFreeTable(): FaultyTable {
  const table = new FaultyTable(new SeededRandom(1));
  table.stopFaults();
  return table;
}

function makeClaimIdentity(idempotencyKey: string) {
  return {customer: 'customer', service: 'booking', idempotencyKey};
}

When(
  '3 claim stores race for {int} keys with seed {int}',
  async function (this: ClaimsWorld, keys: number, seed: number) {
    this.race = await runClaimRace(seed, keys);
  },
);

Then("no key's work ran more than once", function (this: ClaimsWorld) {
  assert.equal(this.race.maxRunsPerKey, 1, JSON.stringify(this.race));
});

Then('no claim without a holder is left', function (this: ClaimsWorld) {
  assert.equal(this.race.orphanedClaims, 0, JSON.stringify(this.race));
});

When(
  'one claim store receives {int} claims concurrently',
  async function (this: ClaimsWorld, count: number) {
    this.table = makeFaultFreeTable();
    const commits = new GroupCommit(this.table, () => 0);
    const store = new ClaimStore(commits);
    const claiming = Effect.gen(function* () {
      yield* Effect.forkScoped(commits.run());
      return yield* Effect.forEach(
        Array.from({length: count}, makeRandomId),
        token =>
          store.claim({
            ...makeClaimIdentity(makeIdempotencyKey(Date.now())),
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

Then(
  'each of the claims is stored and owned by its attempt',
  function (this: ClaimsWorld) {
    const rows = this.table.state.read(this.claims.map(claim => claim.key));
    assert.equal(rows.length, this.claims.length);
    assert.ok(this.claims.every(claim => claim.isOwn));
  },
);

Then(
  'the claims took at most {int} transactions',
  function (this: ClaimsWorld, most: number) {
    assert.ok(
      this.table.transactionCount <= most,
      `${this.table.transactionCount}`,
    );
  },
);

When(/^a claim's key is (.+)$/, function (this: ClaimsWorld, form: string) {
  const nowMs = Date.UTC(2026, 0, 1);
  const made = /^made (\d+) (hours ago|minutes ahead)$/.exec(form);
  const count = Number(made?.[1] ?? 0);
  const offsetMs =
    made?.[2] === 'hours ago' ? -count * MS_PER_HOUR : count * MS_PER_MINUTE;
  const keys: Readonly<Record<string, string>> = {
    'a random UUID': makeRandomId(),
    'any other text': 'reservation-17',
  };
  const key = keys[form] ?? makeIdempotencyKey(nowMs + offsetMs);
  this.keyStatus = checkIdempotencyKey(key, nowMs);
});

Then(
  /^the key is (usable|expired|malformed)$/,
  function (this: ClaimsWorld, status: string) {
    assert.equal(this.keyStatus, status);
  },
);

Given(
  /^claims of keys made (.+) hours ago$/,
  function (this: ClaimsWorld, hoursText: string) {
    this.table = makeFaultFreeTable();
    this.rowKeyByAgeHours = new Map();
    for (const hours of parseHours(hoursText)) {
      const madeAtMs = Date.now() - hours * MS_PER_HOUR;
      const key = makeClaimKey(makeClaimIdentity(makeIdempotencyKey(madeAtMs)));
      this.rowKeyByAgeHours.set(hours, key);
      this.table.state.transact({
        conditions: [],
        writes: [{key, value: '{}'}],
        deletes: [],
      });
    }
  },
);

When(
  'the rows of expired claims are deleted',
  async function (this: ClaimsWorld) {
    const sweeper = new ClaimSweeper(this.table, () => Effect.succeed(true));
    await Effect.runPromise(sweeper.removeExpired());
  },
);

Then(
  /^the claims made (.+) hours ago are left$/,
  function (this: ClaimsWorld, hoursText: string) {
    const left = [...this.rowKeyByAgeHours]
      .filter(([, key]) => this.table.state.read([key]).length > 0)
      .map(([hours]) => hours);
    assert.deepEqual(left, parseHours(hoursText));
  },
);

function parseHours(hoursText: string): number[] {
  return hoursText.split(/, | and /).map(Number);
}
