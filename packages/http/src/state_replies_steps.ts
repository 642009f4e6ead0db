import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {Effect, Exit} from 'effect';
import {
  processBuffers,
  stateBuffers,
  type BufferHolder,
} from './buffer_budget.js';
import {HttpClient} from './http_client.js';
import type {HttpError} from './http_error.js';
import type {HttpReply} from './http_reply.js';

const HOST = '127.0.0.1';
const BODY_BYTES = 500_000;
const BODIES = 134;
const TIMEOUT_MS = 3000;

/** World with bodies that hold the budget, and a reply that was read. */
interface StateRepliesWorld {
  bodyHolders: BufferHolder[];
  stateServer: Server;
  stateExit: Exit.Exit<HttpReply, HttpError>;
}

Given(
  'bodies of clients that fill the budget of the process',
  function (this: StateRepliesWorld) {
    this.bodyHolders = Array.from({length: BODIES}, () => ({
      onEvicted: () => undefined,
    }));
    for (const holder of this.bodyHolders) {
      processBuffers.update(holder, BODY_BYTES);
    }
  },
);

When(
  /^a reply of (\d+) bytes is read under the budget of (clients' bodies|state)$/,
  async function (this: StateRepliesWorld, bytes: string, name: string) {
    const server = createServer((_, response) => {
      response.end(Buffer.alloc(Number(bytes)));
    });
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    this.stateServer = server;
    const address = server.address();
    const port = typeof address === 'object' ? (address?.port ?? 0) : 0;
    const budget = name === 'state' ? stateBuffers : processBuffers;
    const client = new HttpClient(budget);
    this.stateExit = await Effect.runPromiseExit(
      client.send({
        address: {host: HOST, port},
        method: 'GET',
        path: '/',
        headers: {},
        connectTimeoutMs: TIMEOUT_MS,
        silenceMs: TIMEOUT_MS,
      }),
    );
    client.close();
  },
);

Then('the reply is read', function (this: StateRepliesWorld) {
  assert.ok(Exit.isSuccess(this.stateExit), String(this.stateExit));
});

Then(
  'the reply fails as {string}',
  function (this: StateRepliesWorld, failure: string) {
    const text = JSON.stringify(this.stateExit);
    assert.ok(Exit.isFailure(this.stateExit) && text.includes(failure), text);
  },
);

After(function (this: Partial<StateRepliesWorld>) {
  for (const holder of this.bodyHolders ?? []) processBuffers.release(holder);
  this.stateServer?.close();
});
