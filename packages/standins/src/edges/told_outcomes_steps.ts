import assert from 'node:assert/strict';
import {Then, When, type DataTable} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {HeaderName, OUTCOME_EVENT} from '@greengagecross/common';
import {HttpClient, readBody} from '@greengagecross/http';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import type {Fleet} from '../fleet/fleet.js';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {waitUntil} from '../fleet/wait_until.js';
import {
  BOOKING_PATH,
  buildCustomerHeaders,
  buildRequest,
  sendRaw,
  type EdgeReply,
} from './edge_fleet.js';

const CHAT_PATH = '/v1/chat/completions';
const LIMIT_MS = 30_000;
const MAX_BYTES = 16 * 1024 * 1024;
/** Long enough to be under way when its engine is killed. */
const LONG_ANSWER_TOKENS = 100_000;
const IN_FLIGHT = /^greengagecross_requests_in_flight (\d+)$/m;
const COUNTER =
  /^greengagecross_requests_total\{kind="(.*)",outcome="(.*)",reason="(.*)"\} (\d+)$/gm;
const TIMED = /^greengagecross_request_seconds_count\{kind="(.*)"\} (\d+)$/gm;

type Answer = Pick<EdgeReply, 'outcome' | 'reason'>;
type Call = (fleet: Fleet) => Promise<Answer>;

/** State of one scenario about counters. */
interface CountedWorld extends FleetWorld {
  /** Calls by kind, outcome and reason, as they were told. */
  told: Map<string, number>;
  held: Promise<Answer>[];
}

const CALLS: Readonly<Record<string, Call>> = {
  'a whole chat': fleet => sendChat(fleet, 'assistant', false),
  'a streamed chat': fleet => sendChat(fleet, 'assistant', true),
  'a lookup': fleet => send(fleet, `GET ${BOOKING_PATH}/cloths`),
  'a directory question': fleet => send(fleet, 'GET /v1/directory'),
  'a chat of an unknown model': fleet => sendChat(fleet, 'nothing', false),
  'a lookup with a wrong key': fleet =>
    sendRaw(
      fleet,
      false,
      buildRequest(
        `GET ${BOOKING_PATH}/cloths`,
        buildCustomerHeaders(findCustomer(fleet).id, 'a-key-that-is-wrong'),
      ),
    ),
  'an unknown path': fleet => send(fleet, 'GET /v2/nothing'),
  'bytes that are no request': fleet =>
    sendRaw(fleet, false, 'HELLO THERE\r\n\r\n'),
  'a lookup whose reply is lost': fleet =>
    sendLosing(fleet, () => send(fleet, `GET ${BOOKING_PATH}/cloths`)),
  'a reservation whose reply is lost': fleet =>
    sendLosing(fleet, () =>
      send(fleet, `POST ${BOOKING_PATH}/reservations`, '{}', {
        [HeaderName.IDEMPOTENCY_KEY]: makeIdempotencyKey(Date.now()),
      }),
    ),
  'a stream whose engine is killed': fleet => sendKilled(fleet),
};

When(
  'these calls are sent and each is told as the table says:',
  async function (this: CountedWorld, table: DataTable) {
    this.told = new Map();
    for (const row of table.hashes()) {
      const {call = '', times, kind, outcome = '', reason = ''} = row;
      const run = CALLS[call];
      assert.ok(run !== undefined, `no call ${call}`);
      for (let sent = 0; sent < Number(times); sent += 1) {
        const answer: Answer = await run(this.getFleet());
        assert.deepEqual([answer.outcome, answer.reason], [outcome, reason]);
        const key = `${kind} ${outcome} ${reason}`;
        this.told.set(key, (this.told.get(key) ?? 0) + 1);
      }
    }
  },
);

Then(
  "the daemon's counters hold exactly those calls",
  async function (this: CountedWorld) {
    const told = [...this.told].sort();
    const total = told.reduce((sum, [, count]) => sum + count, 0);
    // A call is counted just after its answer left.
    await waitUntil('all calls are counted', LIMIT_MS, async () => {
      const counted = readCounters(await readMetrics(this.getFleet()));
      return counted.reduce((sum, [, count]) => sum + count, 0) >= total;
    });
    const text = await readMetrics(this.getFleet());
    assert.deepEqual(readCounters(text), told);
    const timed = [...text.matchAll(TIMED)].map(match => Number(match[2]));
    assert.equal(
      timed.reduce((sum, count) => sum + count, 0),
      total,
    );
    assert.equal(IN_FLIGHT.exec(text)?.[1], '0');
  },
);

When(
  '{int} lookups are held by the worker',
  async function (this: CountedWorld, count: number) {
    const fleet = this.getFleet();
    const [worker] = fleet.plan.workers;
    assert.ok(worker !== undefined);
    await fleet.setBackendFaults(worker, {holdReplies: true});
    this.held = Array.from({length: count}, () =>
      send(fleet, `GET ${BOOKING_PATH}/cloths`),
    );
  },
);

Then(
  'the daemon counts {int} calls in flight until the worker is killed',
  async function (this: CountedWorld, count: number) {
    const fleet = this.getFleet();
    await waitInFlight(fleet, count);
    fleet.getChild(fleet.plan.workers[0]?.id ?? '').send('SIGKILL');
    for (const answer of await Promise.all(this.held)) {
      assert.equal(answer.outcome, 'failed');
    }
    await waitInFlight(fleet, 0);
  },
);

function waitInFlight(fleet: Fleet, count: number): Promise<void> {
  return waitUntil(`${count} calls are in flight`, LIMIT_MS, async () => {
    const text = await readMetrics(fleet);
    return IN_FLIGHT.exec(text)?.[1] === String(count);
  });
}

function readCounters(text: string): [string, number][] {
  return [...text.matchAll(COUNTER)]
    .map(([, kind, outcome, reason, count]): [string, number] => [
      `${kind} ${outcome} ${reason}`,
      Number(count),
    ])
    .sort();
}

async function readMetrics(fleet: Fleet): Promise<string> {
  const request = buildRequest('GET /metrics', {});
  return (await sendRaw(fleet, true, request)).body;
}

function findCustomer(fleet: Fleet) {
  const [customer] = fleet.plan.customers;
  assert.ok(customer !== undefined);
  return customer;
}

function buildOwnHeaders(fleet: Fleet): Record<string, string> {
  const {id, key} = findCustomer(fleet);
  return buildCustomerHeaders(id, key);
}

async function send(
  fleet: Fleet,
  line: string,
  body = '',
  more: Readonly<Record<string, string>> = {},
): Promise<Answer> {
  const headers = {...buildOwnHeaders(fleet), ...more};
  const reply = await sendRaw(fleet, false, buildRequest(line, headers, body));
  return reply.outcome === '' ? parseLastEvent(reply.body) : reply;
}

function makeChat(model: string, stream: boolean, maxTokens: number): string {
  const messages = [{role: 'user', content: 'a question'}];
  return JSON.stringify({model, messages, stream, max_tokens: maxTokens});
}

function sendChat(
  fleet: Fleet,
  model: string,
  stream: boolean,
): Promise<Answer> {
  return send(fleet, `POST ${CHAT_PATH}`, makeChat(model, stream, 5));
}

async function sendLosing(
  fleet: Fleet,
  work: () => Promise<Answer>,
): Promise<Answer> {
  const [worker] = fleet.plan.workers;
  assert.ok(worker !== undefined);
  await fleet.setBackendFaults(worker, {loseReplies: true});
  const answer = await work();
  await fleet.setBackendFaults(worker, {loseReplies: false});
  return answer;
}

/** Kills the engine once the caller has the beginning of its answer. */
async function sendKilled(fleet: Fleet): Promise<Answer> {
  const [daemon] = fleet.plan.daemons;
  assert.ok(daemon !== undefined);
  const client = new HttpClient();
  const reply = await Effect.runPromise(
    client.open({
      address: daemon.caller,
      method: 'POST',
      path: CHAT_PATH,
      headers: buildOwnHeaders(fleet),
      body: makeChat('assistant', true, LONG_ANSWER_TOKENS),
      connectTimeoutMs: LIMIT_MS,
      silenceMs: LIMIT_MS,
    }),
  );
  fleet.getChild(fleet.plan.engines[0]?.id ?? '').send('SIGKILL');
  const body = await Effect.runPromise(
    readBody(reply.stream, MAX_BYTES, 'daemon'),
  );
  client.close();
  return parseLastEvent(body.toString());
}

function parseLastEvent(text: string): Answer {
  const start = text.lastIndexOf(`event: ${OUTCOME_EVENT}\ndata: `);
  assert.ok(start >= 0, 'the answer tells no outcome');
  const line = text.slice(start).split('\n')[1] ?? '';
  const event = JSON.parse(line.slice('data: '.length)) as Partial<Answer>;
  return {outcome: event.outcome ?? '', reason: event.reason ?? ''};
}
