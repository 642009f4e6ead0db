import assert from 'node:assert/strict';
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Effect, Result, Schema} from 'effect';
import {HttpClient} from '@greengagecross/http';
import {PeerClient} from './peer_client.js';
import {PeerMethod} from './peer_method.js';

const HOST = '127.0.0.1';
const PART_MS = 100;
const PARTS = 9;

/** World with one peer and the result of a call to it. */
interface SlowPeerWorld {
  slowPeer: Server | undefined;
  slowPeerPort: number;
  isAnswered: boolean;
  slowCallMs: number;
}

function answer(response: ServerResponse, id: number, what: string): void {
  if (what === 'nothing') return;
  response.writeHead(200, {'content-type': 'application/json'});
  response.flushHeaders();
  if (!what.includes('parts')) return;
  const text = JSON.stringify({jsonrpc: '2.0', id, result: {}});
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    if (sent < PARTS) response.write(' ');
    else response.end(text);
    if (sent === PARTS) clearInterval(timer);
  }, PART_MS);
}

async function readId(request: IncomingMessage): Promise<number> {
  let text = '';
  for await (const chunk of request) text += String(chunk);
  return (JSON.parse(text) as {id: number}).id;
}

Given(
  /^a peer that sends (nothing|its reply in parts over 900 ms|the head of a reply and nothing after)$/,
  async function (this: SlowPeerWorld, what: string) {
    const server = createServer((request, response) => {
      void readId(request).then(id => answer(response, id, what));
    });
    this.slowPeer = server;
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    const address = server.address();
    this.slowPeerPort = typeof address === 'object' ? (address?.port ?? 0) : 0;
  },
);

When(
  'a daemon calls the peer with a timeout of {int} ms',
  async function (this: SlowPeerWorld, timeoutMs: number) {
    const client = new HttpClient();
    const peers = new PeerClient(client, 'a-peer-key-of-tests', timeoutMs);
    const address = {host: HOST, port: this.slowPeerPort};
    const method = PeerMethod.HEARTBEAT;
    const startMs = performance.now();
    const call = peers.send(address, method, {}, Schema.Unknown);
    const result = await Effect.runPromise(Effect.result(call));
    this.slowCallMs = performance.now() - startMs;
    this.isAnswered = Result.isSuccess(result);
    client.close();
  },
);

Then(
  /^the call of the peer gives (a result|an error) after (\d+) to (\d+) ms$/,
  function (this: SlowPeerWorld, result: string, from: string, to: string) {
    assert.equal(this.isAnswered ? 'a result' : 'an error', result);
    assert.ok(this.slowCallMs >= Number(from), `${this.slowCallMs} ms`);
    assert.ok(this.slowCallMs <= Number(to), `${this.slowCallMs} ms`);
  },
);

After(function (this: Partial<SlowPeerWorld>) {
  this.slowPeer?.close();
  this.slowPeer?.closeAllConnections();
});
