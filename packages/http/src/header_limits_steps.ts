import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  HEAD,
  HOST,
  waitMs,
  waitUntil,
  type UnreceivedWorld,
} from './unreceived_requests_steps.js';

/** World with a connection on which a reply was received. */
interface HeaderWorld extends UnreceivedWorld {
  usedConnection: Socket;
}

/** Opens a connection whose replies are kept as the world's text. */
function openClient(world: HeaderWorld): Socket {
  const socket = connect({host: HOST, port: world.unreceivedPort});
  socket.on('error', () => undefined);
  socket.on('data', bytes => {
    world.unreceivedText += bytes.toString('latin1');
  });
  return socket;
}

Given(
  'a client that got a reply of the listener',
  async function (this: HeaderWorld) {
    this.usedConnection = openClient(this);
    this.usedConnection.write(`${HEAD}content-length: 0\r\n\r\n`);
    await waitUntil(() => this.unreceivedText.endsWith('{}'));
    this.unreceivedText = '';
  },
);

When(
  "the listener's limit on headers becomes {int} bytes",
  function (this: HeaderWorld, bytes: number) {
    this.unreceivedServer.setMaxHeaderBytes(bytes);
  },
);

When(
  /^headers of (\d+) KB are sent on (a new connection|the client's connection)$/,
  async function (this: HeaderWorld, size: string, connection: string) {
    const isNew = connection === 'a new connection';
    const socket = isNew ? openClient(this) : this.usedConnection;
    const value = 'x'.repeat(Number(size) * 1000);
    socket.write(`${HEAD}content-length: 0\r\nx: ${value}\r\n\r\n`);
    await waitUntil(() => this.unreceivedText !== '');
    socket.destroy();
    this.usedConnection.destroy();
  },
);

When(
  "a client sends a part of the headers, and the rest {int} ms after the listener's time for them became {int} ms",
  async function (this: HeaderWorld, waitedMs: number, limitMs: number) {
    const socket = openClient(this);
    socket.write(HEAD);
    this.unreceivedServer.setHeadersTimeoutMs(limitMs);
    await waitMs(waitedMs);
    socket.write('content-length: 0\r\n\r\n');
    await waitUntil(() => this.unreceivedText !== '');
    socket.destroy();
  },
);

Then(
  'the client receives a {int} at last',
  function (this: HeaderWorld, status: number) {
    const text = this.unreceivedText;
    assert.ok(text.startsWith(`HTTP/1.1 ${status} `), text);
    if (status === 503) assert.match(text, /\r\nretry-after: 1\r\n/);
  },
);
