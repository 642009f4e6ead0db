import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
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
  partProcess: ChildProcess | undefined;
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

async function fetchReply(world: ExchangeWorld): Promise<void> {
  const client = new HttpClient();
  const startMs = performance.now();
  world.fetched = await Effect.runPromise(
    Effect.result(
      client.send({
        address: {host: HOST, port: world.partPort},
        method: 'GET',
        path: '/',
        ...TIMEOUTS,
      }),
    ),
  );
  world.fetchMs = performance.now() - startMs;
  client.close();
}

When(
  'its reply is fetched with timeouts of the whole exchange',
  function (this: ExchangeWorld) {
    return fetchReply(this);
  },
);

/** Program of a server that answers after a delay in ms and prints its port. */
const LATE_SERVER = `
const server = require('node:http').createServer((request, response) =>
  setTimeout(() => response.end('x'), Number(process.argv[1])));
server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

Given(
  'a server in another process that sends its reply after {int} ms',
  async function (this: ExchangeWorld, afterMs: number) {
    const child = spawn(process.execPath, ['-e', LATE_SERVER, `${afterMs}`]);
    this.partProcess = child;
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    this.partPort = Number(line.toString());
  },
);

When(
  'its reply is fetched while the process is busy for {int} ms',
  async function (this: ExchangeWorld, busyMs: number) {
    const fetched = fetchReply(this);
    const block = (): void => {
      const endMs = performance.now() + busyMs;
      while (performance.now() < endMs);
    };
    // The request is sent before. Timers run next after an immediate.
    setTimeout(() => setImmediate(block), PART_MS);
    await fetched;
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
  this.partProcess?.kill();
  for (const socket of this.partSockets ?? []) socket.destroy();
});
