import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit} from 'effect';
import {HttpClient} from './http_client.js';

const FIRST_HALF = 'the first half, ';
const SECOND_HALF = 'the second half';
const LIMIT_MS = 2000;
/** Long enough that both halves do not arrive as one. */
const PAUSE_MS = 30;

/** State of one scenario about the end of a reply. */
interface ReplyWorld extends World {
  replyServer: Server | undefined;
  port: number;
  fetched: string | undefined;
}

interface Framing {
  readonly head: string;
  readonly encode: (text: string) => string;
  readonly end: string;
}

const FRAMINGS: Readonly<Record<string, Framing>> = {
  'its length': {
    head: `Content-Length: ${FIRST_HALF.length + SECOND_HALF.length}\r\n`,
    encode: text => text,
    end: '',
  },
  chunks: {
    head: 'Transfer-Encoding: chunked\r\n',
    encode: text => `${text.length.toString(16)}\r\n${text}\r\n`,
    end: '0\r\n\r\n',
  },
  'its channel': {head: '', encode: text => text, end: ''},
};

function answerSocket(socket: Socket, framing: Framing, end: string): void {
  socket.on('error', () => undefined);
  socket.once('data', () => {
    const {head, encode} = framing;
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${encode(FIRST_HALF)}`);
    if (end === 'a reset in one with its bytes') {
      socket.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      if (end === 'a reset half way') socket.resetAndDestroy();
      else if (end === 'a close half way') socket.end();
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
      connectTimeoutMs: LIMIT_MS,
      silenceMs: LIMIT_MS,
    }),
  );
  client.close();
  this.fetched = Exit.isSuccess(exit) ? exit.value.body.toString() : undefined;
});

Then(/^the fetched reply is (whole|cut)$/, function (this: ReplyWorld, result) {
  const expected = result === 'whole' ? FIRST_HALF + SECOND_HALF : undefined;
  assert.equal(this.fetched, expected);
});

After(function (this: ReplyWorld) {
  this.replyServer?.close();
});
