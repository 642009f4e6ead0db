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
import type {Told} from '../callers/told.js';
import {ChatRig} from './chat_rig.js';
import {CuttingProxy} from './cutting_proxy.js';
import {ENGINE_SCRIPTS, type EngineScript} from './engine_scripts.js';

const TIMEOUT_MS = 5000;
const STREAM_PREFIX = '/v1/streams/';
const TOKENS = 3;
const LANES = 8;

/** A chat path of its own, so that several are tried at once. */
interface Lane {
  readonly rig: ChatRig;
  readonly proxy: CuttingProxy;
}

/** State of one scenario about answers. */
interface AnswerWorld extends World {
  rig?: ChatRig;
  lanes?: Lane[];
  headerBytes: number;
  engineScope?: Scope.Closeable;
  script: EngineScript;
  told: (Told | undefined)[];
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
  'the chat path before an engine behind a cutting proxy',
  async function (this: AnswerWorld) {
    const [engine, ...others] = await findAddresses(1 + 2 * LANES);
    assert.ok(engine);
    const profile = {...DEFAULT_PROFILE, msPerToken: 0, prefillMsPerToken: 0};
    await startServer(this, new EngineServer(engine, profile));
    this.lanes = [];
    for (let lane = 0; lane < LANES; lane += 1) {
      const [behind, daemon] = others.splice(0, 2);
      assert.ok(behind && daemon);
      const proxy = new CuttingProxy(behind, engine);
      await proxy.start();
      const rig = new ChatRig(daemon, behind);
      await rig.start();
      this.lanes.push({rig, proxy});
    }
  },
);

Given(
  'the chat path before a scripted engine',
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
    this.rig = new ChatRig(daemon, engine);
    await this.rig.start();
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
  /^a (streamed|whole) chat is cut at every byte of the reply, (\d) times each$/,
  async function (this: AnswerWorld, form: string, times: string) {
    const {lanes = []} = this;
    const [first] = lanes;
    assert.ok(first);
    const body = makeBody(form, TOKENS);
    first.proxy.setCuts([]);
    await first.rig.send(body);
    const reply = first.proxy.getReplied();
    this.headerBytes = reply.indexOf('\r\n\r\n') + 4;
    this.told = [];
    await Promise.all(
      lanes.map(async ({rig, proxy}, lane) => {
        for (let bytes = 1 + lane; bytes < reply.length; bytes += LANES) {
          const next = 1 + ((bytes * 7) % reply.length);
          rig.closeIdle();
          proxy.setCuts([bytes, next].slice(0, Number(times)));
          this.told[bytes - 1] = await rig.send(body);
        }
      }),
    );
  },
);

When(
  /^the engine answers a (streamed|whole) chat with (.+)$/,
  async function (this: AnswerWorld, form: string, name: string) {
    const script = ENGINE_SCRIPTS[name];
    assert.ok(script, `no script ${name}`);
    this.script = script;
    this.told = [await this.rig?.send(makeBody(form, TOKENS))];
  },
);

Then(
  'none of the cut chats looked complete without being whole and own',
  function (this: AnswerWorld) {
    assert.ok(this.told.length > 100);
    for (const [index, told] of this.told.entries()) {
      assert.ok(told?.outcome !== undefined, `nothing told at ${index}`);
      if (told.outcome !== Outcome.COMPLETE) continue;
      assert.ok(told.isOwnWhole, `not whole at ${index}`);
    }
  },
);

Then(
  /^(each|none) of the chats cut after the headers was complete$/,
  function (this: AnswerWorld, which: string) {
    const after = this.told.slice(this.headerBytes);
    const complete = after.filter(told => told?.outcome === Outcome.COMPLETE);
    assert.equal(complete.length, which === 'each' ? after.length : 0);
  },
);

Then(
  /^the scripted chat's caller was told (.+)$/,
  function (this: AnswerWorld, expected: string) {
    const [told] = this.told;
    assert.equal(told?.outcome, expected, JSON.stringify(told));
    assert.equal(told.isOwnWhole, expected === 'complete');
  },
);

After(async function (this: AnswerWorld) {
  await this.rig?.stop();
  for (const {rig, proxy} of this.lanes ?? []) {
    await rig.stop();
    proxy.stop();
  }
  if (this.engineScope !== undefined) {
    await Effect.runPromise(Scope.close(this.engineScope, Exit.void));
  }
});
