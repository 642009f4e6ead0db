import assert from 'node:assert/strict';
import {Then, When, World} from '@cucumber/cucumber';
import {Outcome} from '@greengagecross/common';
import {findFreePorts} from '@greengagecross/http';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {ChatFixture} from './chat_fixture.js';
import {FailingBackend} from './failing_backend.js';
import {ServiceFixture} from './service_fixture.js';

const HOST = '127.0.0.1';

/** What the caller of one kind of call was told. */
interface FailedCall {
  readonly outcome: Outcome | undefined;
  readonly reached: number;
}

/** World of the scenarios with calls of every kind to one failing server. */
interface FailingWorld extends World {
  failedCalls: Map<string, FailedCall>;
}

async function sendChat(
  fixture: ChatFixture,
  isStream: boolean,
): Promise<Outcome | undefined> {
  const messages = [{role: 'user', content: 'which pall fits?'}];
  const body = {messages, max_tokens: 3, stream: isStream};
  return (await fixture.send(body))?.outcome;
}

async function sendCall(
  fixture: ServiceFixture,
  isOnce: boolean,
): Promise<Outcome | undefined> {
  const key = makeIdempotencyKey(Date.now());
  const reply = await (isOnce
    ? fixture.sendAtMostOnce('work', key)
    : fixture.sendRepeatable('work'));
  return reply.outcome;
}

When(
  /^callers send a call of every kind through a backend server that (.+)$/,
  async function (this: FailingWorld, fault: string) {
    this.failedCalls = new Map();
    const [backendPort = 0, chatPort = 0, callPort = 0] =
      await findFreePorts(3);
    const address = {host: HOST, port: backendPort};
    const backend = new FailingBackend(address, fault);
    const chats = new ChatFixture({host: HOST, port: chatPort}, address);
    const calls = new ServiceFixture({host: HOST, port: callPort}, address);
    const kinds = new Map([
      ['streamed chat', () => sendChat(chats, true)],
      ['non-streamed chat', () => sendChat(chats, false)],
      ['repeatable call', () => sendCall(calls, false)],
      ['at-most-once call', () => sendCall(calls, true)],
    ]);
    try {
      await Promise.all([backend.start(), chats.start(), calls.start()]);
      for (const [kind, send] of kinds) {
        backend.calls = 0;
        const outcome = await send();
        this.failedCalls.set(kind, {outcome, reached: backend.calls});
      }
    } finally {
      backend.stop();
      await Promise.all([chats.stop(), calls.stop()]);
    }
  },
);

Then(
  'every call of these was told failed or unknown, and reached the server',
  function (this: FailingWorld) {
    for (const [kind, {outcome, reached}] of this.failedCalls) {
      assert.ok(reached > 0, kind);
      const isTold = outcome === Outcome.FAILED || outcome === Outcome.UNKNOWN;
      assert.ok(isTold, `${kind}: ${outcome}`);
    }
  },
);

Then(
  'the at-most-once call of these reached the server once',
  function (this: FailingWorld) {
    assert.equal(this.failedCalls.get('at-most-once call')?.reached, 1);
  },
);
