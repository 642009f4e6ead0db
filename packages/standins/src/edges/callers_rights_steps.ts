import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {AfterAll, Given, Then, When, World} from '@cucumber/cucumber';
import {HeaderName} from '@greengagecross/common';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import type {Fleet} from '../fleet/fleet.js';
import {
  BOOKING_PATH,
  buildCustomerHeaders,
  buildRequest,
  NEW_KEY,
  OWN_KEY,
  readDaemonLog,
  REVOKED_KEY,
  SECOND_KEY,
  sendRaw,
  startEdgeFleet,
  stopEdgeFleet,
  type EdgeReply,
} from './edge_fleet.js';

/** State of one scenario at the edge. */
export interface EdgeWorld extends World {
  fleet: Fleet;
  answer: EdgeReply;
}

const SHARED_KEY = makeIdempotencyKey(Date.now());
const KEYS: Readonly<Record<string, string>> = {
  'an operator key': 'operator-key-of-this-fleet',
  'the old operator key': 'old-operator-key-of-this-fleet',
  'a peer key': 'peer-key-of-this-fleet',
  'a customer key': OWN_KEY,
};
const CUSTOMER_KEYS: Readonly<Record<string, readonly [string, string?]>> = {
  'its own key': ['customer-1', OWN_KEY],
  'the second of two valid keys': ['customer-1', SECOND_KEY],
  'a key that was revoked': ['customer-2', REVOKED_KEY],
  'a wrong key': ['customer-1', 'a-key-that-is-wrong'],
  'no key': ['customer-1'],
  "another customer's key": ['customer-1', NEW_KEY],
  'the key of an unknown customer': ['nobody', OWN_KEY],
  'an operator key': ['customer-1', 'operator-key-of-this-fleet'],
};
const CONTROL_LINES: Readonly<Record<string, string>> = {
  dump: 'GET /v1/dump',
  drain: 'POST /v1/drain',
  peer: 'POST /rpc',
  health: 'GET /healthz',
  ready: 'GET /readyz',
};
const RPC_BODY = JSON.stringify({jsonrpc: '2.0', id: 1, method: 'none'});

AfterAll(async () => stopEdgeFleet());

Given('the edge fleet of one daemon', async function (this: EdgeWorld) {
  this.fleet = await startEdgeFleet();
});

When(
  /^a lookup is sent with (.+)$/,
  async function (this: EdgeWorld, name: string) {
    const [customer = '', key] = CUSTOMER_KEYS[name] ?? [];
    const headers = buildCustomerHeaders(customer, key);
    const request = buildRequest(`GET ${BOOKING_PATH}/cloths`, headers);
    this.answer = await sendRaw(this.fleet, false, request);
  },
);

When(
  /^the control listener is asked for (\w+) with (.+)$/,
  async function (this: EdgeWorld, path: string, name: string) {
    const key = KEYS[name];
    const headers: Record<string, string> =
      key === undefined ? {} : {authorization: `Bearer ${key}`};
    const line = CONTROL_LINES[path] ?? '';
    const body = path === 'peer' ? RPC_BODY : '';
    const request = buildRequest(line, headers, body);
    this.answer = await sendRaw(this.fleet, true, request);
  },
);

Then(
  'the edge answers {int} with outcome {word}',
  function (this: EdgeWorld, status: number, outcome: string) {
    assert.equal(this.answer.status, status, this.answer.body);
    assert.equal(this.answer.outcome, outcome);
  },
);

Then('the edge answers {int}', function (this: EdgeWorld, status: number) {
  assert.equal(this.answer.status, status, this.answer.body);
});

When(
  'two customers use one chat name, one ticket and one idempotency key',
  async function (this: EdgeWorld) {
    const first = buildCustomerHeaders('customer-1', OWN_KEY);
    const second = buildCustomerHeaders('customer-2', NEW_KEY);
    const told = await sendChat(this.fleet, first, '');
    assert.equal(told.outcome, 'complete', told.body);
    const other = await sendChat(this.fleet, second, told.ticket);
    assert.equal(other.outcome, 'complete', other.body);
    for (const headers of [first, second]) {
      const reply = await sendReservation(this.fleet, headers);
      assert.equal(reply.outcome, 'complete', reply.body);
    }
  },
);

Then(
  "the second customer's chat was cold and its reservation ran for itself",
  async function (this: EdgeWorld) {
    const {engines, workers} = this.fleet.plan;
    const [engine] = engines;
    const [worker] = workers;
    assert.ok(engine !== undefined && worker !== undefined);
    const chats = await this.fleet.readRecord(engine);
    const cold = chats.find(run => run.customer === 'customer-2');
    assert.equal(cold?.cachedTokens, 0);
    const runs = await this.fleet.readRecord(worker);
    const own = runs.filter(run => run.workId === 'shared-work');
    const customers = own.map(run => run.customer).sort();
    assert.deepEqual(customers, ['customer-1', 'customer-2']);
  },
);

Then(
  'no key of the edge fleet is in its logs, its dump or its command line',
  async function (this: EdgeWorld) {
    const authorization = `Bearer ${KEYS['an operator key'] ?? ''}`;
    const request = buildRequest('GET /v1/dump', {authorization});
    const dump = await sendRaw(this.fleet, true, request);
    assert.equal(dump.status, 200);
    const id = this.fleet.plan.daemons[0]?.id ?? '';
    const pid = this.fleet.getChild(id).getPid();
    const command = readFileSync(`/proc/${pid}/cmdline`, 'utf8');
    const environment = readFileSync(`/proc/${pid}/environ`, 'utf8');
    const shown = [readDaemonLog(this.fleet), dump.body, command, environment];
    const secrets = [
      ...Object.values(KEYS),
      'ticket-key-of-this-fleet',
      SECOND_KEY,
      NEW_KEY,
      OWN_KEY,
      'a-key-that-is-wrong',
    ];
    for (const secret of secrets) {
      assert.ok(!shown.join('\n').includes(secret), 'a secret is shown');
    }
  },
);

function sendChat(
  fleet: Fleet,
  customer: Readonly<Record<string, string>>,
  ticket: string,
): Promise<EdgeReply> {
  const messages = [{role: 'user', content: 'a chat that both have'}];
  const body = JSON.stringify({model: 'assistant', messages});
  const headers = {
    ...customer,
    [HeaderName.CHAT]: 'shared-chat',
    ...(ticket === '' ? {} : {[HeaderName.TICKET]: ticket}),
  };
  const line = 'POST /v1/chat/completions';
  return sendRaw(fleet, false, buildRequest(line, headers, body));
}

function sendReservation(
  fleet: Fleet,
  customer: Readonly<Record<string, string>>,
): Promise<EdgeReply> {
  const headers = {
    ...customer,
    [HeaderName.IDEMPOTENCY_KEY]: SHARED_KEY,
  };
  const body = JSON.stringify({workId: 'shared-work'});
  const line = `POST ${BOOKING_PATH}/reservations`;
  return sendRaw(fleet, false, buildRequest(line, headers, body));
}
