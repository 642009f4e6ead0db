import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit, Scope} from 'effect';
import {Logger} from '@greengagecross/common';
import {findFreePorts} from './free_ports.js';
import type {HttpExchange} from './http_exchange.js';
import {HttpServer} from './http_server.js';
import {
  processReceiptFailures,
  ReceiptAction,
  ReceiptFailures,
} from './receipt_failures.js';

/** Address of the listener. */
export const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 1000;
const KEEP_ALIVE_MS = 30_000;
const RECEIPT_TIMEOUT_MS = 300;
const STEP_TIMEOUT_MS = 20_000;
const POLL_MS = 10;
const SETTLE_MS = 50;
const NO_ERROR = 'no error';
/** Headers of a request, without their end. */
export const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\n';
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const PART_OF_CHUNKED = `${CHUNKED}5\r\nab`;
const PART_OF_BODY = `${HEAD}content-length: 10\r\n\r\nabcd`;
const CLOSING = `${HEAD}connection: close\r\ncontent-length: 2\r\n\r\nab`;

/** What clients send, by its name. */
const INPUTS: Readonly<Record<string, string>> = {
  nothing: '',
  'a part of the headers': HEAD,
  'a part of the body': PART_OF_BODY,
  'a part of a chunked body': PART_OF_CHUNKED,
  'a line that is no request': 'HELLO THERE\r\n\r\n',
  'a chunk that is malformed': `${CHUNKED}zz\r\nab`,
  'headers of 20 KB': `${HEAD}x: ${'x'.repeat(20_000)}\r\n\r\n`,
  'the length of a body of 2000 bytes': `${HEAD}content-length: 2000\r\n\r\n`,
  'a chunked body of 2000 bytes': `${CHUNKED}7d0\r\n${'x'.repeat(2000)}\r\n`,
  'a body of 1000 bytes': `${HEAD}content-length: 1000\r\n\r\n${'x'.repeat(1000)}`,
  'a request that closes, and a request': `${CLOSING}${CLOSING}`,
  'a request that closes, and an empty line': `${CLOSING}\r\n`,
};

/** World with one listener, one client, and a count of its own. */
export interface UnreceivedWorld extends World {
  unreceivedScope: Scope.Closeable | undefined;
  unreceivedPort: number;
  unreceivedServer: HttpServer;
  unreceivedText: string;
  /** Time from the client's input to the first byte of the reply. */
  unreceivedAfterMs: number;
  unreceivedResult: string;
  totalsBefore: ReadonlyMap<string, number>;
  failureCount: ReceiptFailures;
  failureTexts: string[];
}

/** Waits for some time, in milliseconds. */
export function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition is met; fails after half of the step's time. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  const endMs = performance.now() + STEP_TIMEOUT_MS / 2;
  while (!isMet()) {
    assert.ok(performance.now() < endMs, 'condition not met');
    await waitMs(POLL_MS);
  }
}

/** Reads a body, answers it, and records what became of it. */
function handle(
  world: UnreceivedWorld,
  exchange: HttpExchange,
): Effect.Effect<void> {
  return exchange.readBody(MAX_BODY_BYTES).pipe(
    Effect.map(() => {
      world.unreceivedResult = 'a body';
      exchange.sendJson(200, {});
    }),
    Effect.catch(({failure}) =>
      Effect.sync(() => {
        world.unreceivedResult = failure;
        exchange.sendJson(413, {}, {connection: 'close'});
      }),
    ),
    Effect.onInterrupt(() =>
      Effect.sync(() => {
        world.unreceivedResult = exchange.getReceiptFailure();
      }),
    ),
  );
}

/** Lists the codes that were counted in this scenario, each as often as it was. */
function listCounted(world: UnreceivedWorld): string[] {
  const totals = [...processReceiptFailures.listTotals()];
  return totals.flatMap(([code, total]) => {
    const before = world.totalsBefore.get(code) ?? 0;
    return new Array<string>(total - before).fill(code);
  });
}

function countLines(world: UnreceivedWorld, code: string): number {
  return world.failureTexts.filter(text => text.includes(`"${code}"`)).length;
}

function closeClient(socket: Socket, end: string): void {
  if (end === 'closes') socket.end();
  else if (end === 'resets') socket.resetAndDestroy();
}

Given(
  'a listener that reads bodies of up to 1000 bytes',
  async function (this: UnreceivedWorld) {
    [this.unreceivedPort = 0] = await findFreePorts(1);
    this.unreceivedText = '';
    this.unreceivedResult = 'nothing';
    this.totalsBefore = processReceiptFailures.listTotals();
    this.unreceivedServer = new HttpServer(
      {
        address: {host: HOST, port: this.unreceivedPort},
        keepAliveMs: KEEP_ALIVE_MS,
        headersTimeoutMs: RECEIPT_TIMEOUT_MS,
        requestTimeoutMs: RECEIPT_TIMEOUT_MS,
      },
      exchange => handle(this, exchange),
    );
    this.unreceivedScope = Scope.makeUnsafe();
    const started = this.unreceivedServer.start();
    await Effect.runPromise(Scope.provide(started, this.unreceivedScope));
  },
);

When(
  /^a client sends (.+?)(?:, and (closes|resets|waits))? to the listener$/,
  {timeout: STEP_TIMEOUT_MS},
  async function (this: UnreceivedWorld, name: string, end: string | null) {
    const input = INPUTS[name];
    assert.ok(input !== undefined, name);
    const socket = connect({host: HOST, port: this.unreceivedPort});
    let isClosed = false;
    const sentAtMs = performance.now();
    socket.on('error', () => undefined);
    socket.once('close', () => (isClosed = true));
    socket.on('data', bytes => {
      if (this.unreceivedText === '') {
        this.unreceivedAfterMs = performance.now() - sentAtMs;
      }
      this.unreceivedText += bytes.toString('latin1');
    });
    socket.write(input);
    if (end === 'closes' || end === 'resets') {
      await waitMs(SETTLE_MS);
      closeClient(socket, end);
      await waitUntil(() => isClosed);
    }
    if (end === null || end === 'waits') {
      await waitUntil(() => this.unreceivedText !== '');
    }
    await waitMs(SETTLE_MS);
    socket.destroy();
    // A handler that was interrupted records its result after that.
    await waitUntil(() => this.unreceivedServer.countActive() === 0);
  },
);

Then('the client receives no reply', function (this: UnreceivedWorld) {
  assert.equal(this.unreceivedText, '');
});

Then(
  /^the client receives a (late )?(\d+)$/,
  function (this: UnreceivedWorld, late: string | null, status: string) {
    const text = this.unreceivedText;
    assert.ok(text.startsWith(`HTTP/1.1 ${status} `), text);
    assert.equal(text.split('HTTP/1.1').length, 2, text);
    if (Number(status) === 200) return;
    assert.match(text, /\r\nconnection: close\r\n/i);
    if (late === null) return;
    assert.match(text, /\r\nretry-after: 1\r\n/);
    assert.ok(this.unreceivedAfterMs >= RECEIPT_TIMEOUT_MS);
  },
);

Then(
  /^the listener's handler sees (.+)$/,
  function (this: UnreceivedWorld, result: string) {
    assert.equal(this.unreceivedResult, result);
  },
);

Then(
  /^the listener counted (.+)$/,
  function (this: UnreceivedWorld, code: string) {
    assert.deepEqual(listCounted(this), code === NO_ERROR ? [] : [code]);
  },
);

Given(
  'a count of requests that cannot be received',
  function (this: UnreceivedWorld) {
    this.failureCount = new ReceiptFailures();
    this.failureTexts = [];
    Logger.setSink(text => this.failureTexts.push(text));
  },
);

When(
  /^(\d+) of them fail with "(\w+)" and (\d+) with "(\w+)" (within 900 ms|a second later)$/,
  function (
    this: UnreceivedWorld,
    firstCount: string,
    first: string,
    secondCount: string,
    second: string,
    when: string,
  ) {
    const startMs = when === 'a second later' ? 1000 : 0;
    const add = (code: string, count: number): void => {
      for (let at = 0; at < count; at += 1) {
        const nowMs = startMs + (900 * at) / count;
        this.failureCount.record(code, ReceiptAction.CLOSED, HOST, nowMs);
      }
    };
    add(first, Number(firstCount));
    add(second, Number(secondCount));
  },
);

Then(
  /^(\d+) lines? names? "(\w+)" and (\d+) lines? names? "(\w+)"$/,
  function (
    this: UnreceivedWorld,
    firstCount: string,
    first: string,
    secondCount: string,
    second: string,
  ) {
    assert.equal(countLines(this, first), Number(firstCount));
    assert.equal(countLines(this, second), Number(secondCount));
  },
);

Then(
  '{int} of them were counted for {string}',
  function (this: UnreceivedWorld, count: number, code: string) {
    assert.equal(this.failureCount.listTotals().get(code), count);
  },
);

After(async function (this: UnreceivedWorld) {
  if (this.failureTexts !== undefined) Logger.setSink(undefined);
  if (this.unreceivedScope === undefined) return;
  await Effect.runPromise(Scope.close(this.unreceivedScope, Exit.void));
});
