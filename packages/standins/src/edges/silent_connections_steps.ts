import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Effect, Result} from 'effect';
import {HttpClient} from '@greengagecross/http';
import {waitUntil} from '../fleet/wait_until.js';
import {answerAnyKind, makeSilentCall} from './silent_kinds.js';
import {MB, openCaller, sendBytes, waitClose} from './silence_world.js';
import type {SilenceWorld} from './silence_world.js';
import {SilentServer} from './silent_server.js';

const LIMIT_MS = 20_000;

After(async function (this: SilenceWorld) {
  this.caller?.destroy();
  await this.silentServer?.close();
});

Given(
  /^(\d+) idle connections to (.+) with a silence limit of (\d+) ms$/,
  async function (
    this: SilenceWorld,
    count: string,
    kind: string,
    silenceMs: string,
  ) {
    this.silentServer = await SilentServer.start(answerAnyKind);
    this.kind = makeSilentCall(
      kind,
      this.silentServer.address,
      Number(silenceMs),
    );
    const calls = Array.from({length: Number(count)}, () => this.kind.call);
    await Effect.runPromise(Effect.all(calls, {concurrency: 'unbounded'}));
    assert.equal(new Set(this.silentServer.used).size, Number(count));
  },
);

When(
  'all of them go silent and one call is made',
  async function (this: SilenceWorld) {
    this.silentServer?.setSilent();
    const startMs = performance.now();
    const result = await Effect.runPromise(Effect.result(this.kind.call));
    this.elapsedMs = performance.now() - startMs;
    assert.ok(Result.isFailure(result));
    this.failure = result.failure.failure;
  },
);

Then(
  /^the call fails as (\w+) between (\d+) and (\d+) ms later$/,
  function (this: SilenceWorld, failure: string, from: string, to: string) {
    assert.equal(this.failure, failure);
    assert.ok(this.elapsedMs >= Number(from), `${this.elapsedMs} ms`);
    assert.ok(this.elapsedMs <= Number(to), `${this.elapsedMs} ms`);
  },
);

Then(
  'the next call is answered over a new connection',
  async function (this: SilenceWorld) {
    await Effect.runPromise(this.kind.call);
    assert.ok(this.silentServer?.isLastCallNew());
  },
);

Given(
  /^a server that (sends|stops after) (\d+) MB to a client with a silence limit of (\d+) ms$/,
  async function (
    this: SilenceWorld,
    how: string,
    megabytes: string,
    silenceMs: string,
  ) {
    const bytes = Number(megabytes) * MB;
    this.silentServer = await SilentServer.start(exchange =>
      sendBytes(this, exchange, bytes, how === 'sends'),
    );
    this.reply = await Effect.runPromise(
      new HttpClient().open({
        address: this.silentServer.address,
        method: 'GET',
        path: '/',
        connectTimeoutMs: LIMIT_MS,
        silenceMs: Number(silenceMs),
      }),
    );
  },
);

When(
  "the client's reader pauses for {int} ms in the middle",
  async function (this: SilenceWorld, pauseMs: number) {
    const {stream} = this.reply;
    this.received = 0;
    let hasPaused = false;
    stream.on('data', (chunk: Buffer) => {
      this.received += chunk.length;
      if (hasPaused) return;
      hasPaused = true;
      stream.pause();
      setTimeout(() => stream.resume(), pauseMs);
    });
    await waitClose(stream);
  },
);

Then(
  'the client receives the {int} MB whole',
  function (this: SilenceWorld, megabytes: number) {
    assert.ok(this.reply.stream.complete);
    assert.equal(this.received, megabytes * MB);
  },
);

When(
  "the client's reader takes all that comes",
  async function (this: SilenceWorld) {
    const {stream} = this.reply;
    let lastMs = performance.now();
    stream.on('data', () => {
      lastMs = performance.now();
    });
    await waitClose(stream);
    this.elapsedMs = performance.now() - lastMs;
  },
);

Then(
  "the client's reply is cut between {int} and {int} ms after the last byte",
  function (this: SilenceWorld, from: number, to: number) {
    assert.ok(!this.reply.stream.complete);
    assert.ok(this.elapsedMs >= from, `${this.elapsedMs} ms`);
    assert.ok(this.elapsedMs <= to, `${this.elapsedMs} ms`);
  },
);

Given(
  /^a listener with a stall limit of (\d+) ms that answers (without end|with 8 MB)$/,
  async function (this: SilenceWorld, limitMs: string, how: string) {
    const isEndless = how === 'without end';
    const bytes = isEndless ? Number.POSITIVE_INFINITY : 8 * MB;
    this.isEnded = false;
    this.isInterrupted = false;
    this.silentServer = await SilentServer.start(
      exchange =>
        sendBytes(this, exchange, bytes, true).pipe(
          Effect.onInterrupt(() =>
            Effect.sync(() => {
              this.isInterrupted = true;
            }),
          ),
          Effect.ensuring(
            Effect.sync(() => {
              this.isEnded = true;
            }),
          ),
        ),
      Number(limitMs),
    );
  },
);

When('a caller connects and never reads', async function (this: SilenceWorld) {
  await openCaller(this);
  this.caller?.pause();
});

When('a caller connects and leaves', async function (this: SilenceWorld) {
  await openCaller(this);
  this.caller?.destroy();
});

When(
  'a caller reads {int} MB every {int} ms',
  async function (this: SilenceWorld, megabytes: number, everyMs: number) {
    await openCaller(this);
    this.received = 0;
    let budget = megabytes * MB;
    this.caller?.on('data', (chunk: Buffer) => {
      this.received += chunk.length;
      budget -= chunk.length;
      if (budget > 0) return;
      this.caller?.pause();
      setTimeout(() => {
        budget = megabytes * MB;
        this.caller?.resume();
      }, everyMs);
    });
    await waitClose(this.caller as Socket);
  },
);

Then(
  'the slow caller receives the {int} MB whole',
  function (this: SilenceWorld, megabytes: number) {
    // Headers come on top of the body.
    assert.ok(this.received > megabytes * MB, `${this.received} bytes`);
  },
);

Then(
  'the listener ends the exchange and never held more than {int} MB for it',
  async function (this: SilenceWorld, megabytes: number) {
    await waitUntil('the stall is found', LIMIT_MS, () => this.isEnded);
    assert.ok(this.peakBytes <= megabytes * MB, `${this.peakBytes} bytes`);
  },
);

Then(
  'the listener interrupts the work of that exchange',
  async function (this: SilenceWorld) {
    await waitUntil('the work ends', LIMIT_MS, () => this.isInterrupted);
  },
);
