import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FleetRetryBudget} from './fleet_retry_budget.js';
import {HedgePolicy} from './hedge_policy.js';
import {
  checkHedge,
  isQuick,
  makeServer,
  openRequest,
  recordAnswer,
  recordAnswers,
  ROUTE,
  type HedgeWorld,
} from './hedge_world.js';

const SERVICE = 's';

Given(
  'hedging with a share of {float} and a minimum delay of {int} ms',
  function (this: HedgeWorld, maxExtraShare: number, minDelayMs: number) {
    this.limits = {maxExtraShare, minDelayMs};
    this.policy ??= new HedgePolicy();
    this.policy.setLimits(this.limits);
    this.nowMs ??= 10_000;
    this.tried ??= new Set();
    this.hasRetry = true;
  },
);

Given('hedging that was turned on anew', function (this: HedgeWorld) {
  this.policy.setLimits(undefined);
  this.policy.setLimits(this.limits);
});

Given('hedging that was turned off', function (this: HedgeWorld) {
  this.policy.setLimits(undefined);
});

Given(
  'a hedged route whose servers {string} have {int} slots each',
  function (this: HedgeWorld, ids: string, slots: number) {
    this.servers = ids.split(',').map(id => makeServer(id, slots));
  },
);

Given(
  '{int} answers on the route, of which 1 in {int} from server {string} took {int} ms and the others {int} ms',
  function (
    this: HedgeWorld,
    count: number,
    every: number,
    slow: string,
    slowMs: number,
    quickMs: number,
  ) {
    const ids = this.servers.map(({id}) => id);
    // The last answers of each server, by which it is judged, are quick.
    const last = 10 * ids.length;
    recordAnswers(this, count - last, at =>
      at % every === 0
        ? [slow, slowMs]
        : [ids[at % ids.length] ?? slow, quickMs],
    );
    recordAnswers(this, last, at => [ids[at % ids.length] ?? slow, quickMs]);
  },
);

Given(
  '{int} answers on the route, each after {int} ms, the last {int} s ago',
  function (this: HedgeWorld, count: number, ms: number, ago: number) {
    recordAnswers(this, count, () => ['a', ms]);
    this.nowMs += ago * 1000;
  },
);

Given(
  'the last {int} answers of servers {string} took {int} ms',
  function (this: HedgeWorld, count: number, ids: string, ms: number) {
    for (const id of ids.split(',')) {
      for (let at = 0; at < count; at += 1) recordAnswer(this, id, ms);
    }
  },
);

When(
  'servers {string} answer other requests after {int} ms',
  function (this: HedgeWorld, ids: string, ms: number) {
    for (const id of ids.split(',')) recordAnswer(this, id, ms);
  },
);

Given(
  'a further server {string} without answers on the route',
  function (this: HedgeWorld, id: string) {
    this.servers.push(makeServer(id, this.servers[0]?.slots ?? 0));
  },
);

Given('servers "a" and "b" are full and avoided', function (this: HedgeWorld) {
  this.servers = this.servers.map(server => ({
    ...server,
    isAvoided: server.id === 'b',
    inFlight: server.id === 'a' ? server.slots : 0,
  }));
});

Given(
  'a retry budget of {float} per first attempt, of which retries took all',
  function (this: HedgeWorld, ratio: number) {
    const limits = {ratio, slack: 0, windowMs: 10_000};
    const budget = new FleetRetryBudget(limits);
    for (let at = 0; at < 100; at += 1) {
      budget.recordFirstTry(SERVICE, this.nowMs);
    }
    this.hasRetry = budget.countRemaining(SERVICE, 1, this.nowMs) >= 1;
    assert.ok(this.hasRetry);
    while (budget.take(SERVICE, 1, this.nowMs));
    this.hasRetry = budget.countRemaining(SERVICE, 1, this.nowMs) >= 1;
  },
);

When(
  'a request is open at server {string} for {int} ms',
  function (this: HedgeWorld, server: string, openMs: number) {
    openRequest(this, server);
    this.nowMs += openMs;
  },
);

When(
  'requests are open at servers {string} for {int} ms',
  function (this: HedgeWorld, ids: string, openMs: number) {
    for (const id of ids.split(',')) {
      openRequest(this, id);
      this.tried.clear();
    }
    this.nowMs += openMs;
  },
);

When(
  '{int} more answers on the route take {int} ms each',
  function (this: HedgeWorld, count: number, ms: number) {
    const ids = this.servers.map(({id}) => id);
    recordAnswers(this, count, at => [ids[at % ids.length] ?? '', ms]);
  },
);

When(
  'requests in flight at the servers are {int} in all',
  function (this: HedgeWorld, inFlight: number) {
    const first = Math.floor(inFlight / this.servers.length);
    const rest = inFlight - first * (this.servers.length - 1);
    this.servers = this.servers.map((server, at) => ({
      ...server,
      inFlight: at === 0 ? rest : first,
    }));
  },
);

When(
  '{int} requests arrive on the route and each asks for a hedge',
  function (this: HedgeWorld, count: number) {
    this.hedges = 0;
    for (let at = 0; at < count; at += 1) {
      this.policy.recordRequest(ROUTE, this.nowMs);
      if (checkHedge(this).refusal !== undefined) continue;
      if (this.policy.take(ROUTE, this.nowMs)) this.hedges += 1;
    }
  },
);

When(
  '{int} daemons get {int} requests of the route each, and each asks for a hedge',
  function (this: HedgeWorld, daemons: number, each: number) {
    this.hedges = 0;
    this.requests = daemons * each;
    for (let daemon = 0; daemon < daemons; daemon += 1) {
      const policy = new HedgePolicy(this.limits);
      for (let at = 0; at < each; at += 1) {
        policy.recordRequest(ROUTE, this.nowMs);
        if (policy.take(ROUTE, this.nowMs)) this.hedges += 1;
      }
    }
  },
);

When(
  'its hedge at server {string} is open for {int} ms',
  function (this: HedgeWorld, server: string, openMs: number) {
    assert.ok(checkHedge(this).serverIds.has(server));
    this.hedge = this.policy.recordSend(ROUTE, server, true, this.nowMs);
    this.nowMs += openMs;
  },
);

When(
  /^(the hedge wins, the first attempt is closed|the first attempt wins, the hedge is closed|the hedge fails, the first attempt wins|the first attempt fails, the hedge wins|both fail|the client disconnects)$/,
  function (this: HedgeWorld, what: string) {
    const {policy, nowMs, first, hedge} = this;
    for (const attempt of [first, hedge]) {
      if (attempt === undefined) continue;
      const name = attempt.isHedge ? 'the hedge' : 'the first attempt';
      if (what.includes(`${name} wins`)) policy.recordAnswer(attempt, nowMs);
      else if (what === 'both fail' || what.includes(`${name} fails`)) {
        policy.recordFailure(attempt, nowMs);
      } else policy.recordCancelled(attempt, nowMs);
    }
  },
);

Then('it is hedged at {string}', function (this: HedgeWorld, ids: string) {
  const {refusal, serverIds} = checkHedge(this);
  assert.equal(refusal, undefined);
  assert.equal([...serverIds].join(','), ids);
});

Then(
  'no request is hedged because of {string}',
  function (this: HedgeWorld, refusal: string) {
    assert.equal(checkHedge(this).refusal, refusal);
  },
);

Then(
  'the delay of the route is {int} ms, from {int} samples',
  function (this: HedgeWorld, delayMs: number, samples: number) {
    const delay = this.policy.findDelay(ROUTE, this.nowMs);
    assert.deepEqual(delay, {delayMs, samples, ageMs: 0});
  },
);

Then('the delay of the route is unknown', function (this: HedgeWorld) {
  assert.equal(this.policy.findDelay(ROUTE, this.nowMs), undefined);
});

Then(
  'the delay of the route is at least {int} ms',
  function (this: HedgeWorld, leastMs: number) {
    const delay = this.policy.findDelay(ROUTE, this.nowMs);
    assert.ok((delay?.delayMs ?? 0) >= leastMs);
  },
);

Then('{int} hedges were sent', function (this: HedgeWorld, count: number) {
  assert.equal(this.hedges, count);
});

Then(
  'at most {float} hedges per request were sent',
  function (this: HedgeWorld, share: number) {
    assert.ok(this.hedges <= share * this.requests, String(this.hedges));
  },
);

Then(
  '{int} samples are known of the route',
  function (this: HedgeWorld, count: number) {
    // A computed quantile is used again for 250 ms.
    const delay = this.policy.findDelay(ROUTE, this.nowMs + 300);
    assert.equal(delay?.samples, count);
  },
);

Then(
  /^server "(\w)" is (quick|slow) and server "(\w)" is (quick|slow) on the route$/,
  function (
    this: HedgeWorld,
    first: string,
    firstText: string,
    second: string,
    secondText: string,
  ) {
    assert.equal(isQuick(this, first), firstText === 'quick');
    assert.equal(isQuick(this, second), secondText === 'quick');
  },
);
