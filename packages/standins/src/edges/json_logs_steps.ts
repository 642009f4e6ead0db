import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {HeaderName} from '@greengagecross/common';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {FLEET_KEYS, type Fleet} from '../fleet/fleet.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {
  BOOKING_PATH,
  buildCustomerHeaders,
  buildRequest,
  readDaemonLog,
  sendRaw,
} from './edge_fleet.js';

const TEXT = 'words-that-only-the-customer-wrote';
const WRONG_KEY = 'a-key-that-somebody-guessed';
const ISO_TIME = /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z$/;
const SIZE = {daemons: 1, engines: 1, workers: 1, customers: 1};
const SENTENCES = [
  'daemon: The daemon listens.',
  'chats: An attempt failed.',
  'daemon: The daemon stops.',
];
const ENVIRONMENT = {
  GREENGAGECROSS_LOG: 'json',
  DEBUG: 'greengagecross:*',
};

type Line = Readonly<Record<string, unknown>>;

/** State of one scenario about logs. */
interface LogWorld extends FleetWorld {
  environment?: NodeJS.ProcessEnv;
  secrets: string[];
  logText: string;
  lines: Line[];
}

After(function (this: LogWorld) {
  if (this.environment !== undefined) process.env = this.environment;
});

Given(
  'a daemon that logs one JSON object a line',
  async function (this: LogWorld) {
    this.environment = process.env;
    // The processes that are started inherit it.
    process.env = {...process.env, ...ENVIRONMENT};
    const tuning = {directoryKeepMs: 300};
    const fleet = await this.startFleet({...SIZE, tuning});
    const keys = fleet.plan.customers.map(customer => customer.key);
    const own = Object.values(FLEET_KEYS).flat();
    this.secrets = [TEXT, WRONG_KEY, ...keys, ...own];
  },
);

When(
  'customers send text, keys and reservations, and an engine is lost',
  async function (this: LogWorld) {
    const fleet = this.getFleet();
    const [customer] = fleet.plan.customers;
    assert.ok(customer !== undefined);
    const idempotencyKey = makeIdempotencyKey(Date.now());
    this.secrets.push(idempotencyKey);
    const own = buildCustomerHeaders(customer.id, customer.key);
    const wrong = buildCustomerHeaders(customer.id, WRONG_KEY);
    const reservation = {...own, [HeaderName.IDEMPOTENCY_KEY]: idempotencyKey};
    const chat = {...own, [HeaderName.CHAT]: TEXT};
    const booking = `POST ${BOOKING_PATH}/reservations`;
    const body = JSON.stringify({workId: TEXT});
    await send(fleet, 'POST /v1/chat/completions', chat, makeChat());
    await send(fleet, 'POST /v1/chat/completions', wrong, makeChat());
    await send(fleet, 'POST /v1/chat/completions', own, `{"${TEXT}`);
    await send(fleet, booking, reservation, body);
    await send(fleet, `GET ${BOOKING_PATH}/${TEXT}?q=${TEXT}`, own, '');
    await sendRaw(fleet, false, `${TEXT}\r\n\r\n`);
    const engine = fleet.getChild(fleet.plan.engines[0]?.id ?? '');
    engine.send('SIGKILL');
    await engine.waitEnd();
    await send(fleet, 'POST /v1/chat/completions', chat, makeChat());
  },
);

When(
  'the daemon is stopped and its log is read',
  async function (this: LogWorld) {
    const fleet = this.getFleet();
    const daemon = fleet.getChild(fleet.plan.daemons[0]?.id ?? '');
    daemon.send('SIGTERM');
    await daemon.waitEnd();
    this.logText = readDaemonLog(fleet);
  },
);

Then(
  'each line parses and has its time, part and sentence',
  function (this: LogWorld) {
    const texts = this.logText.split('\n').filter(text => text !== '');
    this.lines = texts.map(text => JSON.parse(text) as Line);
    for (const {at, part, sentence} of this.lines) {
      assert.match(String(at), ISO_TIME);
      assert.ok(typeof part === 'string' && part !== '');
      assert.ok(typeof sentence === 'string' && sentence !== '');
    }
  },
);

Then(
  'its parts say at least that it listened, that an attempt failed and that it stopped',
  function (this: LogWorld) {
    const said = this.lines.map(
      line => `${String(line['part'])}: ${String(line['sentence'])}`,
    );
    for (const sentence of SENTENCES) {
      assert.ok(said.includes(sentence), `${sentence} in ${said.join('\n')}`);
    }
  },
);

Then("no line holds customers' text or a secret", function (this: LogWorld) {
  for (const secret of this.secrets) {
    assert.ok(!this.logText.includes(secret), secret);
  }
});

function send(
  fleet: Fleet,
  line: string,
  headers: Readonly<Record<string, string>>,
  body: string,
) {
  return sendRaw(fleet, false, buildRequest(line, headers, body));
}

function makeChat(): string {
  const messages = [{role: 'user', content: TEXT}];
  return JSON.stringify({model: 'assistant', messages});
}
