import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit, Fiber} from 'effect';
import type {HttpError} from './http_error.js';
import {readBody} from './read_body.js';

const LIMIT_BYTES = 1_000_000;
const RECEIVED_BYTES = 16 * 1024;

/** World with one body that is being read. */
interface BodyWorld extends World {
  work: (size: number) => void;
  stream: BodyStandin;
  reading: Fiber.Fiber<Buffer, HttpError> | undefined;
  sent: Buffer;
  heldBytes: number;
}

/** Message whose chunks are read when the test gives them. */
class BodyStandin extends EventEmitter {
  complete = false;

  /** Ends the body as complete. */
  finish(): void {
    this.complete = true;
    this.emit('end');
    this.emit('close');
  }
}

function startReading(world: BodyWorld): void {
  const pause = (): void => undefined;
  world.stream = Object.assign(new BodyStandin(), {pause});
  const stream = world.stream as unknown as IncomingMessage;
  world.reading = Effect.runFork(readBody(stream, LIMIT_BYTES, 'test'));
}

/** Counts the bytes in use after full garbage collections. */
async function countUsedBytes(): Promise<number> {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  // The memory of buffers is freed some time after the objects.
  for (let round = 0; round < 4; round += 1) {
    collect();
    await new Promise(resolve => setTimeout(resolve, 25));
  }
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

async function readExit(
  world: BodyWorld,
): Promise<Exit.Exit<Buffer, HttpError>> {
  assert.ok(world.reading);
  return Effect.runPromise(Fiber.await(world.reading));
}

When(
  '{int} bytes of a body arrive in chunks of one byte, {int} from each received buffer of 16 KiB',
  async function (this: BodyWorld, bytes: number, each: number) {
    startReading(this);
    const beforeBytes = await countUsedBytes();
    for (let sent = 0; sent < bytes; sent += each) {
      const received = Buffer.alloc(RECEIVED_BYTES, 'x');
      for (let at = 0; at < each; at += 1) {
        this.stream.emit('data', received.subarray(at, at + 1));
      }
    }
    this.heldBytes = (await countUsedBytes()) - beforeBytes;
  },
);

Then(
  'the body that is read so far holds less than {int} bytes',
  function (this: BodyWorld, limit: number) {
    assert.ok(this.heldBytes < limit, `${this.heldBytes} bytes`);
  },
);

Given(
  'the work of reading a body in chunks of one byte',
  function (this: BodyWorld) {
    const chunk = Buffer.from('x');
    this.work = size => {
      startReading(this);
      for (let at = 0; at < size; at += 1) this.stream.emit('data', chunk);
      this.stream.finish();
    };
  },
);

When(
  'a body of {int} bytes arrives in chunks of {int} bytes',
  function (this: BodyWorld, bytes: number, size: number) {
    startReading(this);
    this.sent = Buffer.from(
      Array.from({length: bytes}, (unused, at) => at % 251),
    );
    for (let at = 0; at < bytes; at += size) {
      this.stream.emit('data', this.sent.subarray(at, at + size));
    }
    this.stream.finish();
  },
);

Then('the body is read unchanged', async function (this: BodyWorld) {
  const exit = await readExit(this);
  assert.ok(Exit.isSuccess(exit));
  assert.ok(exit.value.equals(this.sent));
});

When(
  'more than the limit of a body arrives in chunks of one byte',
  function (this: BodyWorld) {
    startReading(this);
    const chunk = Buffer.from('x');
    for (let at = 0; at <= LIMIT_BYTES; at += 1) {
      this.stream.emit('data', chunk);
    }
  },
);

Then(
  'reading it fails as {string}',
  async function (this: BodyWorld, failure: string) {
    const exit = await readExit(this);
    assert.ok(Exit.isFailure(exit));
    assert.ok(JSON.stringify(exit.cause).includes(failure));
  },
);

After(async function (this: BodyWorld) {
  if (this.reading === undefined) return;
  await Effect.runPromise(Fiber.interrupt(this.reading));
});
