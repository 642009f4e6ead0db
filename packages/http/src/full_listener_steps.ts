import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import {findFreePorts} from './free_ports.js';
import {HttpServer} from './http_server.js';

const HOST = '127.0.0.1';
const TIMEOUT_MS = 30_000;
const POLL_MS = 10;
const MAX_BODY_BYTES = 1000;
const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n';

/** World with one listener and its clients. */
interface FullWorld extends World {
  fullServer: HttpServer;
  fullServerFiber: Fiber.Fiber<void, unknown> | undefined;
  fullServerPort: number;
  maxConnections: number;
  fullClients: Socket[];
  /** What each client has received. */
  fullAnswers: Map<Socket, string>;
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  const endMs = performance.now() + TIMEOUT_MS;
  while (!isMet()) {
    assert.ok(performance.now() < endMs, 'condition not met');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

function addClient(world: FullWorld, text: string): void {
  const socket = connect({host: HOST, port: world.fullServerPort});
  socket.on('error', () => undefined);
  socket.on('data', bytes => {
    const before = world.fullAnswers.get(socket) ?? '';
    world.fullAnswers.set(socket, before + bytes.toString());
  });
  socket.write(text);
  world.fullClients.push(socket);
}

Given(
  'a listener for {int} connections that answers nothing',
  async function (this: FullWorld, maxConnections: number) {
    const [port = 0] = await findFreePorts(1);
    this.fullServerPort = port;
    this.maxConnections = maxConnections;
    this.fullClients = [];
    this.fullAnswers = new Map();
    this.fullServer = new HttpServer(
      {
        address: {host: HOST, port},
        keepAliveMs: TIMEOUT_MS,
        headersTimeoutMs: TIMEOUT_MS,
        requestTimeoutMs: TIMEOUT_MS,
        maxConnections,
      },
      exchange =>
        Effect.andThen(
          Effect.result(exchange.readBody(MAX_BODY_BYTES)),
          Effect.never,
        ),
    );
    this.fullServerFiber = Effect.runFork(
      Effect.scoped(Effect.andThen(this.fullServer.start(), Effect.never)),
    );
    await waitUntil(() => this.fullServer.isListening());
  },
);

When(
  /^(\d+) clients? sends? (a part of )?a request to the listener$/,
  {timeout: TIMEOUT_MS},
  async function (this: FullWorld, count: string, part: string | null) {
    for (let at = 0; at < Number(count); at += 1) {
      addClient(this, part === null ? `${HEAD}body` : `${HEAD}bo`);
    }
    const active = Math.min(this.fullClients.length, this.maxConnections);
    await waitUntil(() => this.fullServer.countActive() === active);
  },
);

When('one of the clients leaves', function (this: FullWorld) {
  this.fullClients.pop()?.destroy();
});

Then(
  'the listener becomes full',
  {timeout: TIMEOUT_MS},
  async function (this: FullWorld) {
    await waitUntil(() => this.fullServer.isFull());
  },
);

Then(
  'the listener is no longer full',
  {timeout: TIMEOUT_MS},
  async function (this: FullWorld) {
    await waitUntil(() => !this.fullServer.isFull());
  },
);

Then(
  'one client got a 503 with a time to come back, and its connection was closed',
  {timeout: TIMEOUT_MS},
  async function (this: FullWorld) {
    await waitUntil(() => this.fullClients.some(({closed}) => closed));
    const answers = [...this.fullAnswers.values()];
    assert.equal(answers.length, 1);
    assert.match(answers[0] ?? '', /^HTTP\/1\.1 503 [^]*retry-after: 1\r\n/);
    assert.equal(this.fullClients.filter(({closed}) => closed).length, 1);
  },
);

After(async function (this: FullWorld) {
  for (const socket of this.fullClients ?? []) socket.destroy();
  if (this.fullServerFiber === undefined) return;
  await Effect.runPromise(Fiber.interrupt(this.fullServerFiber));
});
