import assert from 'node:assert/strict';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit, Scope} from 'effect';
import {BackendHeader} from '@greengagecross/backend';
import {Outcome, type Address} from '@greengagecross/common';
import {
  findFreePorts,
  type HttpExchange,
  HttpServer,
} from '@greengagecross/http';
import {DEFAULT_PROFILE} from '../backends/engine_profile.js';
import {EngineServer} from '../backends/engine_server.js';
import {computeAnswerTokens} from '../backends/expected_answer.js';
import type {CallerReply} from '../callers/caller_reply.js';
import {ChatFixture} from './chat_fixture.js';
import {DisconnectingProxy} from './disconnecting_proxy.js';
import {ENGINE_SCRIPTS, type EngineScript} from './engine_scripts.js';

const TIMEOUT_MS = 5000;
const STREAM_PREFIX = '/v1/streams/';
const TOKENS = 3;
const PARALLEL_FIXTURES = 8;

/** A chat path with its own proxy, so that chats can run in parallel. */
interface ProxiedFixture {
  readonly fixture: ChatFixture;
  readonly proxy: DisconnectingProxy;
}

/** Fixture of a scenario about answers of a faulty engine. */
interface AnswerWorld extends World {
  fixture?: ChatFixture;
  proxiedFixtures?: ProxiedFixture[];
  /** Length of the reply's status line and headers. */
  headerBytes: number;
  engineScope?: Scope.Closeable;
  script: EngineScript;
  /** One for each chat; undefined when the connection gave no reply. */
  replies: (CallerReply | undefined)[];
  /** After how many bytes of the reply each chat lost its connection. */
  lostAfterBytes: number[];
}

function makeBody(form: string, tokens: number) {
  const messages = [{role: 'user', content: 'which pall fits?'}];
  return {messages, max_tokens: tokens, stream: form === 'streamed'};
}

async function findAddresses(count: number): Promise<Address[]> {
  const ports = await findFreePorts(count);
  return ports.map(port => ({host: '127.0.0.1', port}));
}

async function startServer(
  world: AnswerWorld,
  server: {start: EngineServer['start']},
): Promise<void> {
  world.engineScope = Scope.makeUnsafe();
  await Effect.runPromise(Scope.provide(server.start(), world.engineScope));
}

Given(
  'the chat path in front of an engine behind a disconnecting proxy',
  async function (this: AnswerWorld) {
    const [engine, ...others] = await findAddresses(1 + 2 * PARALLEL_FIXTURES);
    assert.ok(engine);
    const profile = {...DEFAULT_PROFILE, msPerToken: 0, prefillMsPerToken: 0};
    await startServer(this, new EngineServer(engine, profile));
    this.proxiedFixtures = [];
    for (let count = 0; count < PARALLEL_FIXTURES; count += 1) {
      const [proxyAddress, daemon] = others.splice(0, 2);
      assert.ok(proxyAddress && daemon);
      const proxy = new DisconnectingProxy(proxyAddress, engine);
      await proxy.start();
      const fixture = new ChatFixture(daemon, proxyAddress);
      await fixture.start();
      this.proxiedFixtures.push({fixture, proxy});
    }
  },
);

Given(
  'the chat path in front of a scripted engine',
  async function (this: AnswerWorld) {
    const [engine, daemon] = await findAddresses(2);
    assert.ok(engine && daemon);
    const options = {
      address: engine,
      keepAliveMs: TIMEOUT_MS,
      headersTimeoutMs: TIMEOUT_MS,
      requestTimeoutMs: TIMEOUT_MS,
    };
    const answer = (exchange: HttpExchange): Effect.Effect<void> =>
      Effect.sync(() => answerScripted(this, exchange));
    await startServer(this, new HttpServer(options, answer));
    this.fixture = new ChatFixture(daemon, engine);
    await this.fixture.start();
  },
);

function answerScripted(world: AnswerWorld, exchange: HttpExchange): void {
  if (exchange.method === 'DELETE') {
    exchange.sendJson(200, {});
    return;
  }
  const attemptId = exchange.path.startsWith(STREAM_PREFIX)
    ? exchange.path.slice(STREAM_PREFIX.length)
    : (exchange.getHeader(BackendHeader.REQUEST_ID) ?? '');
  const tokens = computeAnswerTokens(makeBody('streamed', TOKENS));
  world.script(exchange, attemptId, tokens);
}

When(
  /^a (streamed|non-streamed) chat loses its connection at every third byte of the reply from byte (\d), (\d) times each$/,
  async function (
    this: AnswerWorld,
    form: string,
    firstByte: string,
    times: string,
  ) {
    const {proxiedFixtures = []} = this;
    const [first] = proxiedFixtures;
    assert.ok(first);
    const body = makeBody(form, TOKENS);
    first.proxy.setReplyByteLimits([]);
    await first.fixture.send(body);
    const reply = first.proxy.getReplyBytes();
    this.headerBytes = reply.indexOf('\r\n\r\n') + 4;
    this.replies = [];
    this.lostAfterBytes = [];
    for (let bytes = Number(firstByte); bytes < reply.length; bytes += 3) {
      this.lostAfterBytes.push(bytes);
    }
    const waiting = [...this.lostAfterBytes.entries()];
    await Promise.all(
      proxiedFixtures.map(async ({fixture, proxy}) => {
        for (let taken = waiting.pop(); taken; taken = waiting.pop()) {
          const [index, bytes] = taken;
          const next = 1 + ((bytes * 7) % reply.length);
          fixture.closeIdle();
          proxy.setReplyByteLimits([bytes, next].slice(0, Number(times)));
          this.replies[index] = await fixture.send(body);
        }
      }),
    );
  },
);

When(
  /^the engine answers a (streamed|non-streamed) chat with (.+)$/,
  async function (this: AnswerWorld, form: string, name: string) {
    const script = ENGINE_SCRIPTS[name];
    assert.ok(script, `no script ${name}`);
    this.script = script;
    this.replies = [await this.fixture?.send(makeBody(form, TOKENS))];
  },
);

Then(
  'no interrupted chat was reported complete without its complete own answer',
  function (this: AnswerWorld) {
    assert.ok(this.lostAfterBytes.length > 100);
    for (const [index, bytes] of this.lostAfterBytes.entries()) {
      const reply = this.replies[index];
      assert.ok(reply?.outcome !== undefined, `no outcome, ${bytes} bytes`);
      if (reply.outcome !== Outcome.COMPLETE) continue;
      assert.ok(reply.isCompleteAndOwn, `incomplete, ${bytes} bytes`);
    }
  },
);

Then(
  /^(each|none) of the chats interrupted after the headers was complete$/,
  function (this: AnswerWorld, which: string) {
    const after = this.replies.filter(
      (reply, index) => (this.lostAfterBytes[index] ?? 0) > this.headerBytes,
    );
    const complete = after.filter(reply => reply?.outcome === Outcome.COMPLETE);
    assert.equal(complete.length, which === 'each' ? after.length : 0);
  },
);

Then(
  /^the scripted chat's caller received (.+)$/,
  function (this: AnswerWorld, expected: string) {
    const [reply] = this.replies;
    assert.equal(reply?.outcome, expected, JSON.stringify(reply));
    assert.equal(reply.isCompleteAndOwn, expected === 'complete');
  },
);

After(async function (this: AnswerWorld) {
  await this.fixture?.stop();
  for (const {fixture, proxy} of this.proxiedFixtures ?? []) {
    await fixture.stop();
    proxy.stop();
  }
  if (this.engineScope !== undefined) {
    await Effect.runPromise(Scope.close(this.engineScope, Exit.void));
  }
});
