import assert from 'node:assert/strict';
import {Then, When, World} from '@cucumber/cucumber';
import {FaultKind} from './fault_kind.js';
import {runFaults, type FaultRunResult} from './fault_run.js';

const RUN_LIMIT_MS = 180_000;
const SIZE = {
  daemons: 3,
  engines: 4,
  workers: 2,
  customers: 2,
  tuning: {directoryKeepMs: 500, backendSilenceMs: 2000},
};
const LOAD = {
  seed: 1,
  chats: 10,
  bookings: 10,
  turnsPerChat: 4,
  chatPauseMs: 100,
  bookingPauseMs: 50,
};

/** Fixture of the fault scenario: the result of the fault run. */
interface FaultsWorld extends World {
  faultRun: FaultRunResult;
}

When(
  'a small fleet under load meets every kind of fault once',
  {timeout: RUN_LIMIT_MS},
  async function (this: FaultsWorld) {
    this.faultRun = await runFaults({
      size: SIZE,
      load: LOAD,
      seed: LOAD.seed,
      randomMs: 0,
      fixed: Object.values(FaultKind),
    });
  },
);

Then('the fault run injected each kind of fault', function (this: FaultsWorld) {
  for (const kind of Object.values(FaultKind)) {
    assert.equal(this.faultRun.faults[kind], 1, kind);
  }
});

Then(
  "the fault run's account holds requests and complete answers",
  function (this: FaultsWorld) {
    const {requests, complete} = this.faultRun.account;
    assert.ok(requests > 0 && complete > 0);
  },
);

Then('no answer in the fault run was incomplete', function (this: FaultsWorld) {
  const {account} = this.faultRun;
  assert.equal(account.incomplete, 0, JSON.stringify(account));
});

Then(
  'no request reported not-run was executed in the fault run, and no booking twice',
  function (this: FaultsWorld) {
    const {account} = this.faultRun;
    const text = JSON.stringify(account);
    assert.equal(account.executed_though_told_not_run, 0, text);
    assert.equal(account.executed_twice, 0, text);
  },
);
