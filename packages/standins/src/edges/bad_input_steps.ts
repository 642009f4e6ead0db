import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {Schema} from 'effect';
import {
  ChatRequestSchema,
  EngineLoadSchema,
  EngineStateSchema,
} from '@greengagecross/backend';
import {
  DaemonSettingsSchema,
  decodeDocument,
  ExcessProperties,
  FleetKeysSchema,
  HeaderName,
  parseJson,
  TicketCodec,
  ValidationError,
} from '@greengagecross/common';
import {AcquireSlotSchema, HeartbeatSchema} from '@greengagecross/peers';
import {
  HostListSchema,
  LeaseRowSchema,
  LoadPermitsSchema,
  TableRowSchema,
} from '@greengagecross/platform';
import type {EdgeWorld} from './callers_rights_steps.js';
import {buildCustomerHeaders, buildRequest, sendRaw} from './edge_fleet.js';

const SEED = 20_261_204;
const CHAT_LINE = 'POST /v1/chat/completions';
const CUSTOMER = buildCustomerHeaders('customer-1', 'key-of-customer-1');
const MESSAGES = [{role: 'user', content: 'a question'}];
const TICKET = new TicketCodec(['another-ticket-key-of-tests']).encode({
  customer: 'customer-1',
  chat: 'chat',
  service: 'assistant',
  engine: 'engine-1',
  contextTokens: 10,
  warmAtMs: 1,
});

/** Requests, as bytes, by what is wrong with them. */
const INPUTS: Readonly<Record<string, () => string | Buffer>> = {
  'a header of 20 KB': () =>
    buildRequest('GET /v1/directory', {...CUSTOMER, x: 'x'.repeat(20_000)}),
  'a line that is no request': () => 'HELLO THERE\r\n\r\n',
  'a header that never ends': () => 'GET /v1/directory HTTP/1.1\r\nhost: x',
  'a broken chunk of a body': () =>
    `${CHAT_LINE} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n` +
    `${HeaderName.CUSTOMER}: customer-1\r\n` +
    'authorization: Bearer key-of-customer-1\r\n\r\nzz\r\n',
  'a body of 9 MB': () => buildChat('x'.repeat(9 * 1024 * 1024)),
  'broken JSON': () => buildChat('{"model": '),
  'a chat without a model': () => buildChat(JSON.stringify({messages: []})),
  'an unknown model': () => buildModelChat('nothing'),
  'a plain service named as a model': () => buildModelChat('booking'),
  'an unknown service': () => buildRequest('GET /v1/services/none/x', CUSTOMER),
  'an unknown path': () => buildRequest('GET /v2/nothing', CUSTOMER),
  'a chat with an altered ticket': () => buildModelChat('assistant', TICKET),
};

/** Schemas by the document that they check. */
const DOCUMENTS: Readonly<Record<string, Schema.Codec<unknown>>> = {
  'daemon settings': DaemonSettingsSchema,
  'fleet keys': FleetKeysSchema,
  'a chat request': ChatRequestSchema,
  'a heartbeat': HeartbeatSchema,
  'a slot request': AcquireSlotSchema,
  'a table row': TableRowSchema,
  'a lease': LeaseRowSchema,
  'the permits to load': LoadPermitsSchema,
  "an engine's state": EngineStateSchema,
  'a host list': HostListSchema,
  "an engine's load": EngineLoadSchema,
};

When(
  /^(.+) arrives at the edge$/,
  async function (this: EdgeWorld, name: string) {
    const make = INPUTS[name];
    assert.ok(make !== undefined, `no input ${name}`);
    this.answer = await sendRaw(this.fleet, false, make());
  },
);

Then(
  /^(\d+) random values of (.+) are read or refused with every problem$/,
  function (runs: string, name: string) {
    const schema = DOCUMENTS[name];
    assert.ok(schema !== undefined, `no document ${name}`);
    const isValid = Schema.is(schema);
    const values = fc.oneof(
      fc.jsonValue(),
      fc.anything(),
      fc.record({id: fc.anything(), host: fc.anything(), key: fc.anything()}),
    );
    fc.assert(
      fc.property(values, value => checkDecoded(schema, isValid, value, name)),
      {seed: SEED, numRuns: Number(runs)},
    );
    fc.assert(
      fc.property(fc.string(), text => checkParsed(text, name)),
      {seed: SEED, numRuns: Number(runs)},
    );
  },
);

Then(
  '{int} random and altered tickets read as no ticket',
  function (numRuns: number) {
    const codec = new TicketCodec(['ticket-key-of-some-tests']);
    const ticket = {
      customer: 'customer',
      chat: 'chat',
      service: 'assistant',
      engine: 'engine-1',
      contextTokens: 10,
      warmAtMs: 1,
    };
    const good = codec.encode(ticket);
    assert.deepEqual(codec.decode(good, 'customer', 'chat'), ticket);
    assert.equal(codec.decode(good, 'other', 'chat'), undefined);
    assert.equal(codec.decode(good, 'customer', 'other'), undefined);
    const alteration = fc.tuple(fc.nat(good.length - 1), fc.string());
    const texts = fc.oneof(
      fc.string(),
      alteration.map(([at, put]) => good.slice(0, at) + put),
      alteration.map(([at, put]) => good.slice(0, at) + put + good.slice(at)),
    );
    fc.assert(
      fc.property(texts, text => {
        const decoded = codec.decode(text, 'customer', 'chat');
        assert.ok(decoded === undefined || text === good, text);
      }),
      {seed: SEED, numRuns},
    );
  },
);

function buildChat(body: string, ticket?: string): string {
  const headers = ticket === undefined ? {} : {[HeaderName.TICKET]: ticket};
  const chat = {[HeaderName.CHAT]: 'chat'};
  return buildRequest(CHAT_LINE, {...CUSTOMER, ...chat, ...headers}, body);
}

function buildModelChat(model: string, ticket?: string): string {
  return buildChat(JSON.stringify({model, messages: MESSAGES}), ticket);
}

/** A value is accepted exactly when it is of the schema's type. */
function checkDecoded(
  schema: Schema.Codec<unknown>,
  isValid: (value: unknown) => boolean,
  value: unknown,
  name: string,
): void {
  try {
    decodeDocument(schema, value, name, ExcessProperties.IGNORED);
  } catch (thrown) {
    assert.ok(thrown instanceof ValidationError, String(thrown));
    assert.ok(thrown.problems.length > 0);
    assert.ok(!isValid(value));
    return;
  }
  assert.ok(isValid(value));
}

function checkParsed(text: string, name: string): void {
  try {
    parseJson(text, name);
  } catch (thrown) {
    assert.ok(thrown instanceof ValidationError, String(thrown));
  }
}
