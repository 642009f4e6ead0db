import assert from 'node:assert/strict';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit, Fiber} from 'effect';
import {AttemptFailure, AttemptFailureKind} from '../calls/attempt_failure.js';
import {EventRelay} from './event_relay.js';

const HEAD = {
  status: 200,
  isReplyToRequest: true,
  hasRequestId: true,
  isNotRun: false,
  isServerLeaving: false,
  isSigned: true,
  headers: {},
};

/** Response to a client that reads at once. */
class ResponseStandin {
  readonly writableNeedDrain = false;

  writeHead(): void {}

  write(): void {}
}

/** World with one stream from a server. */
interface RelayWorld extends World {
  stream: PassThrough;
  relayed: Fiber.Fiber<void, AttemptFailure> | undefined;
  exit: Exit.Exit<void, AttemptFailure> | undefined;
  events: number;
}

function waitMs(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

function writeEvent(world: RelayWorld): void {
  world.events += 1;
  world.stream.write(`id: ${world.events}\ndata: x\n\n`);
}

async function writeEvery(
  intervalMs: number,
  forMs: number,
  write: () => void,
): Promise<void> {
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs) {
    write();
    await waitMs(intervalMs);
  }
}

Given(
  'a relayed stream with a stall timeout of {int} ms',
  function (this: RelayWorld, timeoutMs: number) {
    this.stream = new PassThrough();
    this.events = 0;
    this.exit = undefined;
    const response = new ResponseStandin() as unknown as ServerResponse;
    const relay = new EventRelay(response, undefined);
    const stream = this.stream as unknown as IncomingMessage;
    this.relayed = Effect.runFork(
      relay.forward(stream, HEAD, 'server', timeoutMs),
    );
    this.relayed.addObserver(exit => {
      this.exit = exit;
    });
  },
);

When('an event arrives', async function (this: RelayWorld) {
  writeEvent(this);
  await waitMs(20);
});

When(
  'the process is paused for {int} ms, in which an event arrives',
  async function (this: RelayWorld, ms: number) {
    // Like bytes of a socket, the event is read after the timers that are due.
    setImmediate(() => writeEvent(this));
    const endMs = performance.now() + ms;
    while (performance.now() < endMs);
    await waitMs(20);
  },
);

When(
  /^(comments|events) arrive every (\d+) ms for (\d+) ms$/,
  async function (
    this: RelayWorld,
    kind: string,
    intervalMs: string,
    forMs: string,
  ) {
    await writeEvery(Number(intervalMs), Number(forMs), () => {
      if (kind === 'events') writeEvent(this);
      else if (!this.stream.destroyed) this.stream.write(': working\n\n');
    });
  },
);

Then(
  '{int} ms later the stream is still relayed',
  async function (this: RelayWorld, ms: number) {
    await waitMs(ms);
    assert.equal(this.exit, undefined);
  },
);

Then('the stream was given up as silent', function (this: RelayWorld) {
  assert.ok(this.exit !== undefined && Exit.isFailure(this.exit));
  const failure = JSON.stringify(this.exit.cause);
  assert.ok(failure.includes(AttemptFailureKind.SILENT), failure);
});

After(async function (this: RelayWorld) {
  if (this.relayed === undefined) return;
  await Effect.runPromise(Fiber.interrupt(this.relayed));
});
