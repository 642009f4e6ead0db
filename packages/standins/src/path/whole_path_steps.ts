import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {Outcome} from '@greengagecross/common';
import {WorkKind} from '../callers/caller_verdict.js';
import {FleetCaller} from '../callers/fleet_caller.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';

const SHORT_DIRECTORY_KEEP = {directoryKeepMs: 300};

Given(
  'a fleet of {int} daemons, {int} engines and {int} workers',
  async function (
    this: FleetWorld,
    daemons: number,
    engines: number,
    workers: number,
  ) {
    const size = {
      daemons,
      engines,
      workers,
      customers: 2,
      tuning: SHORT_DIRECTORY_KEEP,
    };
    await this.startFleet(size);
  },
);

When(
  'a chat of {int} turns, a lookup and a reservation are sent',
  async function (this: FleetWorld, turns: number) {
    const {plan} = this.getFleet();
    const [customer] = plan.customers;
    assert.ok(customer);
    const entries = plan.daemons.map(daemon => daemon.caller);
    const caller = new FleetCaller(customer, entries);
    let ticket: string | undefined;
    for (let turn = 0; turn < turns; turn += 1) {
      const content = `turn ${turn} of a chat`;
      const verdict = await Effect.runPromise(
        caller.send({
          kind: WorkKind.CHAT,
          chat: 'chat',
          workId: `chat#${turn}`,
          ticket,
          body: {messages: [{role: 'user', content}], stream: turn % 2 === 0},
        }),
      );
      ticket = verdict.ticket;
      this.verdicts.push(verdict);
    }
    for (const kind of [WorkKind.LOOKUP, WorkKind.RESERVATION]) {
      const body = {messages: []};
      const request = {kind, chat: kind, workId: kind, ticket: undefined, body};
      this.verdicts.push(await Effect.runPromise(caller.send(request)));
    }
    caller.close();
  },
);

Then(
  'every answer is complete, belongs to its request and is reported complete',
  function (this: FleetWorld) {
    for (const verdict of this.verdicts) {
      assert.equal(verdict.outcome, Outcome.COMPLETE, JSON.stringify(verdict));
      assert.ok(verdict.isCompleteAndOwn, JSON.stringify(verdict));
    }
  },
);

Then(
  "the chat's later turns found their context cached",
  async function (this: FleetWorld) {
    const fleet = this.getFleet();
    const records = await Promise.all(
      fleet.plan.engines.map(engine => fleet.readRecord(engine)),
    );
    const later = records.flat().filter(run => !run.workId.endsWith('#0'));
    assert.equal(later.length, 2);
    for (const run of later) assert.ok(run.cachedTokens > 0);
  },
);

Then(
  'every process ends with code 0 when it is stopped',
  async function (this: FleetWorld) {
    for (const [name, code] of await this.getFleet().stop()) {
      assert.equal(code, 0, name);
    }
  },
);
