import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Effect, Result} from 'effect';
import type {ExchangeTimeouts} from './exchange_timeouts.js';
import {HttpClient} from './http_client.js';
import type {HttpError} from './http_error.js';
import type {HttpReply} from './http_reply.js';

const TIMEOUTS: ExchangeTimeouts = {
  connectTimeoutMs: 400,
  headTimeoutMs: 400,
  silenceMs: 800,
  totalTimeoutMs: 2500,
};
const PART_MS = 50;
const HOST = '127.0.0.1';

/** World with a server of parts and the result of one fetch from it. */
interface ExchangeWorld {
  partServer: Server | undefined;
  partPort: number;
  partSockets: Set<Socket>;
  fetched: Result.Result<HttpReply, HttpError>;
  fetchMs: number;
}

/** Sends a part now and then; calls `onEnd` after the given number of them. */
function sendParts(
  socket: Socket,
  part: string,
  count: number,
  onEnd: () => void,
): void {
  let sent = 0;
  const timer = setInterval(() => {
    socket.write(part);
    sent += 1;
    if (sent < count) return;
    clearInterval(timer);
    onEnd();
  }, PART_MS);
  socket.on('close', () => clearInterval(timer));
}

function answer(socket: Socket, reply: string): void {
  if (reply === 'nothing') return;
  socket.write('HTTP/1.1 200 OK\r\n');
  if (reply === 'a head without end') {
    sendParts(socket, 'a: b\r\n', Infinity, () => undefined);
    return;
  }
  const count = Number(/^\d+/.exec(reply)?.[0] ?? Infinity);
  const length = reply.includes('then') || count === Infinity ? 1000 : count;
  socket.write(`Content-Length: ${length}\r\n\r\n`);
  sendParts(socket, 'x', count, () => {
    if (reply.includes('close')) socket.end();
  });
}

Given(
  /^a server that sends (nothing|a head without end|parts without end|\d+ parts, .+)$/,
  async function (this: ExchangeWorld, reply: string) {
    this.partSockets = new Set();
    const server = createServer(socket => {
      this.partSockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket, reply));
    });
    this.partServer = server;
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const address = server.address();
    this.partPort = typeof address === 'object' ? (address?.port ?? 0) : 0;
  },
);

When(
  'its reply is fetched with timeouts of the whole exchange',
  async function (this: ExchangeWorld) {
    const client = new HttpClient();
    const startMs = performance.now();
    this.fetched = await Effect.runPromise(
      Effect.result(
        client.send({
          address: {host: HOST, port: this.partPort},
          method: 'GET',
          path: '/',
          ...TIMEOUTS,
        }),
      ),
    );
    this.fetchMs = performance.now() - startMs;
    client.close();
  },
);

Then(
  /^the fetch gives (.+) with (\d+|no|some) bytes of the body$/,
  function (this: ExchangeWorld, result: string, bytes: string) {
    const {fetched} = this;
    const isReply = Result.isSuccess(fetched);
    assert.equal(isReply ? 'a reply' : fetched.failure.failure, result);
    const received = isReply
      ? fetched.success.body.length
      : fetched.failure.receivedBytes;
    if (bytes === 'no') assert.equal(received, undefined);
    else if (bytes === 'some') assert.ok(Number(received) > 0);
    else assert.equal(received, Number(bytes));
  },
);

Then(
  'the fetch took at least {int} ms and ended within {int} ms',
  function (this: ExchangeWorld, atLeastMs: number, withinMs: number) {
    assert.ok(this.fetchMs >= atLeastMs, `${this.fetchMs} ms`);
    assert.ok(this.fetchMs <= withinMs, `${this.fetchMs} ms`);
  },
);

After(function (this: Partial<ExchangeWorld>) {
  this.partServer?.close();
  for (const socket of this.partSockets ?? []) socket.destroy();
});
