import assert from 'node:assert/strict';
import {createSocket, type Socket} from 'node:dgram';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import fastCheck from 'fast-check';
import {findFreePorts} from '@greengagecross/http';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {HeartbeatSocket} from './heartbeat_socket.js';
import {LoadMessageKind, type LoadMessage} from './load_message.js';

const HOST = '127.0.0.1';
const SEED = 11;
const WAIT_TIMEOUT_MS = 4000;
const ADDRESS = {host: HOST, port: 1};
const HEARTBEAT: Heartbeat = {
  id: 'd1',
  availabilityZone: 'z1',
  callers: ADDRESS,
  peers: ADDRESS,
  heartbeats: ADDRESS,
  incarnation: 1,
  sequence: 1,
  state: DaemonState.READY,
  intervalMs: 200,
  isStoreReached: true,
  configurationVersion: 1,
  backendsChange: 1,
  inFlight: {},
  crashes: {},
};
const LOAD: LoadMessage = {
  kind: LoadMessageKind.REPORT,
  id: 'd1',
  availabilityZone: 'z1',
  inFlight: {e1: 1},
};

/** World with one receiving socket and one sending socket. */
interface SocketWorld extends World {
  receiver: Fiber.Fiber<never, never>;
  sender: Socket;
  port: number;
  received: Array<Heartbeat | LoadMessage>;
}

function makeContents(name: string, count: number): Buffer[] {
  const sample = <T>(values: fastCheck.Arbitrary<T>): T[] =>
    fastCheck.sample(values, {seed: SEED, numRuns: count});
  switch (name) {
    case 'random bytes':
      return sample(fastCheck.uint8Array({maxLength: 800})).map(bytes =>
        Buffer.from(bytes),
      );
    case 'random JSON':
      return sample(fastCheck.json()).map(text => Buffer.from(text));
    case 'a heartbeat with a wrong type': {
      const keys = Object.keys(HEARTBEAT);
      return sample(fastCheck.constantFrom(...keys)).map(key =>
        Buffer.from(JSON.stringify({...HEARTBEAT, [key]: [null]})),
      );
    }
    default: {
      const text = JSON.stringify(LOAD);
      const ends = fastCheck.integer({min: 1, max: text.length - 1});
      return sample(ends).map(end => Buffer.from(text.slice(0, end)));
    }
  }
}

/**
 * Sends a datagram and lets the receiver, which runs in this process, read it:
 * the system drops datagrams that exceed its buffer.
 */
async function sendBytes(world: SocketWorld, bytes: Buffer): Promise<void> {
  await new Promise<void>(resolve =>
    world.sender.send(bytes, world.port, HOST, () => resolve()),
  );
  await new Promise<void>(resolve => setTimeout(resolve, 1));
}

Given(
  'a daemon that receives heartbeats and load messages',
  async function (this: SocketWorld) {
    const [port = 0] = await findFreePorts(1);
    this.port = port;
    this.received = [];
    const socket = new HeartbeatSocket(
      {host: HOST, port},
      heartbeat => this.received.push(heartbeat),
      message => this.received.push(message),
      () => undefined,
    );
    this.receiver = Effect.runFork(
      Effect.scoped(Effect.andThen(socket.open(), Effect.never)),
    );
    this.sender = createSocket('udp4');
  },
);

When(
  /^(\d+) datagrams of (.+) arrive$/,
  async function (this: SocketWorld, count: string, name: string) {
    for (const bytes of makeContents(name, Number(count))) {
      await sendBytes(this, bytes);
    }
  },
);

When(
  'a valid heartbeat and a valid load message arrive',
  async function (this: SocketWorld) {
    await sendBytes(this, Buffer.from(JSON.stringify(HEARTBEAT)));
    await sendBytes(this, Buffer.from(JSON.stringify(LOAD)));
  },
);

Then(
  'the daemon has received them and no other heartbeat or load message',
  async function (this: SocketWorld) {
    const endMs = performance.now() + WAIT_TIMEOUT_MS;
    while (this.received.length < 2 && performance.now() < endMs) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    this.sender.close();
    await Effect.runPromise(Fiber.interrupt(this.receiver));
    assert.deepEqual(this.received, [HEARTBEAT, LOAD]);
  },
);
