import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import {findFreePorts} from './free_ports.js';
import type {HttpExchange} from './http_exchange.js';
import {HttpServer} from './http_server.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 1_000_000;
const TIMEOUT_MS = 30_000;
const QUIET_MS = 500;
const POLL_MS = 10;

/** World with one server and one client that sends requests ahead. */
interface ReadAheadWorld extends World {
  serverFiber: Fiber.Fiber<void, unknown> | undefined;
  serverPort: number;
  parsedCount: number;
  readAheadSender: Socket | undefined;
  received: string;
  isClosed: boolean;
  bodies: string[];
}

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (!isMet()) {
    assert.ok(performance.now() < endMs, 'condition not met');
    await waitMs(POLL_MS);
  }
}

function answerWithBody(exchange: HttpExchange): Effect.Effect<void> {
  return exchange.readBody(MAX_BODY_BYTES).pipe(
    Effect.map(body => exchange.send(200, {}, `${exchange.path}=${body};`)),
    Effect.catch(error =>
      Effect.sync(() => exchange.sendJson(500, {error: error.message})),
    ),
  );
}

async function startServer(
  world: ReadAheadWorld,
  isAnswering: boolean,
): Promise<void> {
  const [port = 0] = await findFreePorts(1);
  world.serverPort = port;
  world.parsedCount = 0;
  world.received = '';
  world.isClosed = false;
  world.bodies = [];
  const server = new HttpServer(
    {
      address: {host: HOST, port},
      keepAliveMs: TIMEOUT_MS,
      headersTimeoutMs: TIMEOUT_MS,
      requestTimeoutMs: TIMEOUT_MS,
    },
    exchange => (isAnswering ? answerWithBody(exchange) : Effect.never),
  );
  // Also counts requests that wait behind the one that is handled.
  const {server: nodeServer} = server as unknown as {
    server: {on(name: string, listener: () => void): void};
  };
  nodeServer.on('request', () => (world.parsedCount += 1));
  world.serverFiber = Effect.runFork(
    Effect.scoped(Effect.andThen(server.start(), Effect.never)),
  );
  await waitUntil(() => server.isListening());
}

/** Makes request number `at`, and its body. */
function makeRequest(kind: string, at: number): readonly [string, string] {
  const head = `POST /${at} HTTP/1.1\r\nhost: a\r\n`;
  if (kind === 'without bodies') {
    return [`${head}content-length: 0\r\n\r\n`, ''];
  }
  if (kind === 'with chunked bodies') {
    const text = `${head}transfer-encoding: chunked\r\n\r\n`;
    const chunk = `${String(at % 10)}`;
    return [
      `${text}${`1\r\n${chunk}\r\n`.repeat(20)}0\r\n\r\n`,
      chunk.repeat(20),
    ];
  }
  const length = Number(/\d+/.exec(kind)?.[0] ?? 0);
  const body = String(at).padEnd(length, 'x');
  return [`${head}content-length: ${length}\r\n\r\n${body}`, body];
}

function makeRequests(
  world: ReadAheadWorld,
  count: number,
  kind: string,
): string {
  const requests = Array.from({length: count}, (_unused, at) =>
    makeRequest(kind, at),
  );
  world.bodies = requests.map(([, body]) => body);
  return requests.map(([text]) => text).join('');
}

async function sendText(
  world: ReadAheadWorld,
  text: string,
  pieceBytes: number,
): Promise<Socket> {
  const socket = connect({host: HOST, port: world.serverPort});
  world.readAheadSender = socket;
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.on('data', bytes => (world.received += bytes.toString('latin1')));
  socket.once('close', () => (world.isClosed = true));
  for (let at = 0; at < text.length; at += pieceBytes) {
    socket.write(text.slice(at, at + pieceBytes));
    // Lets pieces arrive apart from each other.
    await new Promise(resolve => setImmediate(resolve));
  }
  return socket;
}

function listAnswers(world: ReadAheadWorld): string[] {
  return world.received.match(/\/\d+=[^;]*;/g) ?? [];
}

function listExpected(world: ReadAheadWorld): string[] {
  return world.bodies.map((body, at) => `/${at}=${body};`);
}

Given(
  'an HTTP server that answers nothing',
  async function (this: ReadAheadWorld) {
    await startServer(this, false);
  },
);

Given(
  'an HTTP server that answers each request with its path and body',
  async function (this: ReadAheadWorld) {
    await startServer(this, true);
  },
);

When(
  /^a client sends (\d+) requests (.+) on one connection in pieces of (\d+) bytes$/,
  {timeout: TIMEOUT_MS},
  async function (
    this: ReadAheadWorld,
    count: string,
    kind: string,
    piece: string,
  ) {
    const text = makeRequests(this, Number(count), kind);
    await sendText(this, text, Number(piece));
  },
);

When(
  'a client sends {int} requests without bodies on one connection and closes its half',
  async function (this: ReadAheadWorld, count: number) {
    const text = makeRequests(this, count, 'without bodies');
    const socket = await sendText(this, text, text.length);
    socket.end();
  },
);

When(
  'a client sends {int} requests without bodies, a malformed line and {int} requests on one connection',
  async function (this: ReadAheadWorld, count: number, more: number) {
    const text = makeRequests(this, count, 'without bodies');
    const rest = makeRequest('without bodies', count)[0].repeat(more);
    await sendText(this, `${text}malformed\r\n\r\n${rest}`, 100_000);
  },
);

Then(
  'at least {int} and at most {int} requests were parsed once the server reads no more',
  {timeout: TIMEOUT_MS},
  async function (this: ReadAheadWorld, least: number, most: number) {
    await waitUntil(() => this.parsedCount >= least);
    await waitMs(QUIET_MS);
    assert.ok(this.parsedCount <= most, `${this.parsedCount} requests`);
  },
);

Then(
  'the client gets {int} answers in order, each with its own body',
  {timeout: TIMEOUT_MS + QUIET_MS},
  async function (this: ReadAheadWorld, count: number) {
    await waitUntil(() => this.isClosed || listAnswers(this).length >= count);
    // Answers beyond the expected ones would follow.
    await waitMs(QUIET_MS);
    assert.deepEqual(listAnswers(this), listExpected(this));
  },
);

Then(
  'the client gets the first of {int} answers in order, and its connection is closed',
  {timeout: TIMEOUT_MS + QUIET_MS},
  async function (this: ReadAheadWorld, most: number) {
    await waitUntil(() => this.isClosed);
    const answers = listAnswers(this);
    assert.ok(answers.length > 0 && answers.length <= most);
    assert.deepEqual(answers, listExpected(this).slice(0, answers.length));
  },
);

After(async function (this: ReadAheadWorld) {
  this.readAheadSender?.destroy();
  if (this.serverFiber === undefined) return;
  await Effect.runPromise(Fiber.interrupt(this.serverFiber));
});
