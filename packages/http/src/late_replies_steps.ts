import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Result} from 'effect';
import {HttpClient} from './http_client.js';
import {
  computeCut,
  REPLIES,
  REPLY_ID_HEADER,
  type MakeReply,
} from './late_replies_texts.js';

const TIMEOUT_MS = 2000;
/** Time for written bytes to arrive. */
const ARRIVAL_MS = 20;
const POLL_MS = 10;
const FLOOD_INTERVAL_MS = 1;

/** A reply as the client received it. */
interface ReceivedReply {
  /** Undefined if the request failed. */
  readonly id: string | undefined;
  readonly send: string | undefined;
  readonly afterMs: number;
}

/** Fixture of a raw TCP server that sends replies again. */
interface LateWorld extends World {
  lateServer: Server | undefined;
  latePort: number;
  lateSockets: Set<Socket>;
  accepted: number;
  makeReply: MakeReply;
  timing: string;
  client: HttpClient;
  replies: ReceivedReply[];
  sends: number;
  /** Resolved when what a server sends while idle is written. */
  idleWrite: Promise<void>;
}

function writeByByte(socket: Socket, text: string): void {
  const writeNext = (at: number): void => {
    if (at >= text.length) return;
    socket.write(text.slice(at, at + 1), () => setImmediate(writeNext, at + 1));
  };
  writeNext(0);
}

/** Writes a text after the reply before it has arrived. */
function writeWhileIdle(world: LateWorld, socket: Socket, text: string): void {
  world.idleWrite = new Promise(resolve =>
    setTimeout(() => socket.write(text, () => resolve()), ARRIVAL_MS),
  );
}

function answerNext(
  world: LateWorld,
  socket: Socket,
  last: string,
  id: string,
): string {
  world.sends += 1;
  const reply = world.makeReply(
    `${REPLY_ID_HEADER}: ${id}\r\nx-send: s${world.sends}\r\n`,
  );
  switch (world.timing) {
    case 'before the next reply':
      socket.write(last + reply);
      break;
    case 'before the next reply, byte by byte':
      writeByByte(socket, last + reply);
      break;
    case 'three times before the next reply':
      socket.write(last + last + last + reply);
      break;
    case 'while the connection is idle':
      socket.write(reply);
      writeWhileIdle(world, socket, reply);
      break;
    case 'without end': {
      socket.write(reply);
      const timer = setInterval(() => socket.write(reply), FLOOD_INTERVAL_MS);
      socket.once('close', () => clearInterval(timer));
      break;
    }
    default: {
      const [, where = '', when] =
        /^cut short (.+) (while idle|before the next reply)$/.exec(
          world.timing,
        ) ?? [];
      const length = (text: string): number => computeCut(text, where);
      if (when === 'while idle') {
        socket.write(reply);
        writeWhileIdle(world, socket, reply.slice(0, length(reply)));
      } else if (when === undefined) socket.write(reply);
      else socket.write(last.slice(0, length(last)) + reply);
    }
  }
  return reply;
}

function acceptSocket(world: LateWorld, socket: Socket): void {
  world.accepted += 1;
  world.lateSockets.add(socket);
  socket.setNoDelay(true);
  socket.on('error', () => undefined);
  socket.once('close', () => world.lateSockets.delete(socket));
  let last = '';
  socket.on('data', bytes => {
    const id = /^x-id: (.*)$/im.exec(bytes.toString('latin1'))?.[1] ?? '';
    last = answerNext(world, socket, last, id.trim());
  });
}

async function sendOne(world: LateWorld, id: string): Promise<void> {
  const startedAtMs = performance.now();
  const result = await Effect.runPromise(
    Effect.result(
      world.client.send({
        address: {host: '127.0.0.1', port: world.latePort},
        method: 'GET',
        path: '/',
        headers: {[REPLY_ID_HEADER]: id},
        replyId: {header: REPLY_ID_HEADER, value: id},
        connectTimeoutMs: TIMEOUT_MS,
        silenceMs: TIMEOUT_MS,
      }),
    ),
  );
  const headers = Result.isSuccess(result) ? result.success.headers : {};
  world.replies.push({
    id: headers[REPLY_ID_HEADER]?.toString(),
    send: headers['x-send']?.toString(),
    afterMs: performance.now() - startedAtMs,
  });
}

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

Given(
  /^a server that answers on kept connections, with replies (.+)$/,
  async function (this: LateWorld, framing: string) {
    const makeReply = REPLIES[framing];
    assert.ok(makeReply);
    this.makeReply = makeReply;
    this.accepted = 0;
    this.sends = 0;
    this.idleWrite = Promise.resolve();
    this.replies = [];
    this.lateSockets = new Set();
    this.client = new HttpClient();
    const server = createServer(socket => acceptSocket(this, socket));
    this.lateServer = server;
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = server.address();
    this.latePort = typeof address === 'object' ? (address?.port ?? 0) : 0;
  },
);

When(
  /^(\d+) requests( with the same id)? are sent in turn, and a copy of each reply arrives (.+)$/,
  {timeout: 20_000},
  async function (
    this: LateWorld,
    count: string,
    same: string | null,
    timing: string,
  ) {
    this.timing = timing;
    const pauseMs = timing === 'never' ? 0 : ARRIVAL_MS;
    for (let at = 0; at < Number(count); at += 1) {
      await sendOne(this, same === null ? `r${at}` : 'r');
      await this.idleWrite;
      await waitMs(pauseMs);
    }
  },
);

When(
  'a request is sent, and copies of its reply arrive without end',
  async function (this: LateWorld) {
    this.timing = 'without end';
    await sendOne(this, 'r0');
  },
);

Then('each request got its own reply', function (this: LateWorld) {
  const ids = this.replies.map(reply => reply.id);
  assert.deepEqual(
    ids,
    ids.map((unused, at) => `r${at}`),
  );
});

Then(
  'each request got the reply that was made for its send',
  function (this: LateWorld) {
    const sends = this.replies.map(reply => reply.send);
    assert.deepEqual(
      sends,
      sends.map((unused, at) => `s${at + 1}`),
    );
  },
);

Then(
  /^the second request failed( or got a reply with another name)? within (\d+) ms$/,
  function (this: LateWorld, other: string | null, limitMs: string) {
    const second = this.replies[1];
    assert.ok(second);
    if (other === null) assert.equal(second.id, undefined);
    else assert.notEqual(second.id, 'r1');
    assert.ok(second.afterMs < Number(limitMs), `${second.afterMs} ms`);
  },
);

Then(
  /^the server accepted (\d+) connections?$/,
  function (this: LateWorld, count: string) {
    assert.equal(this.accepted, Number(count));
  },
);

Then(
  'within {int} ms the server has no open connection',
  async function (this: LateWorld, limitMs: number) {
    const startedAtMs = performance.now();
    while (this.lateSockets.size > 0) {
      assert.ok(performance.now() - startedAtMs < limitMs);
      await waitMs(POLL_MS);
    }
  },
);

After(function (this: LateWorld) {
  this.client?.close();
  this.lateServer?.close();
});
