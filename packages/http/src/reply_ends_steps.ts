import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit} from 'effect';
import {HttpClient} from './http_client.js';

const FIRST_HALF = 'the first half, ';
const SECOND_HALF = 'the second half';
const TIMEOUT_MS = 2000;
/** Delay between the two halves, so that they arrive separately. */
const PAUSE_MS = 30;

/** Fixture of a raw TCP server and the reply that the client fetched from it. */
interface ReplyWorld extends World {
  replyServer: Server | undefined;
  port: number;
  /** Undefined if the client reported a failure. */
  fetchedBody: string | undefined;
}

/** Encoding of a reply whose body is sent in two parts. */
interface Framing {
  readonly head: string;
  readonly encode: (text: string) => string;
  readonly end: string;
}

const FRAMINGS: Readonly<Record<string, Framing>> = {
  'content-length': {
    head: `Content-Length: ${FIRST_HALF.length + SECOND_HALF.length}\r\n`,
    encode: text => text,
    end: '',
  },
  chunks: {
    head: 'Transfer-Encoding: chunked\r\n',
    encode: text => `${text.length.toString(16)}\r\n${text}\r\n`,
    end: '0\r\n\r\n',
  },
  'connection close': {head: '', encode: text => text, end: ''},
};

function answerSocket(socket: Socket, framing: Framing, end: string): void {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    const {head, encode} = framing;
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${encode(FIRST_HALF)}`);
    if (end === 'a reset along with the first half') {
      socket.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      if (end === 'a reset after the first half') socket.resetAndDestroy();
      else if (end === 'a close after the first half') socket.end();
      else socket.end(`${encode(SECOND_HALF)}${framing.end}`);
    }, PAUSE_MS);
  });
}

Given(
  /^a server whose reply is framed by (.+) and ends with (.+)$/,
  async function (this: ReplyWorld, name: string, end: string) {
    const framing = FRAMINGS[name];
    assert.ok(framing);
    const server = createServer(socket => answerSocket(socket, framing, end));
    this.replyServer = server;
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const address = server.address();
    this.port = typeof address === 'object' ? (address?.port ?? 0) : 0;
  },
);

When('the reply is fetched', async function (this: ReplyWorld) {
  const client = new HttpClient();
  const exit = await Effect.runPromiseExit(
    client.send({
      address: {host: '127.0.0.1', port: this.port},
      method: 'GET',
      path: '/',
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    }),
  );
  client.close();
  this.fetchedBody = Exit.isSuccess(exit)
    ? exit.value.body.toString()
    : undefined;
});

Then(
  /^the fetched reply is (complete|truncated)$/,
  function (this: ReplyWorld, result) {
    const expected =
      result === 'complete' ? FIRST_HALF + SECOND_HALF : undefined;
    assert.equal(this.fetchedBody, expected);
  },
);

After(function (this: ReplyWorld) {
  this.replyServer?.close();
});
