import {connect, type Socket} from 'node:net';
import type {Readable} from 'node:stream';
import type {World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import type {HttpExchange, OpenReply} from '@greengagecross/http';
import {waitUntil} from '../fleet/wait_until.js';
import type {SilentKind} from './silent_kinds.js';
import type {SilentServer} from './silent_server.js';

/** Bytes of a megabyte. */
export const MB = 1024 * 1024;
const CHUNK = Buffer.alloc(MB / 16, 'x');
const LIMIT_MS = 20_000;

/** State of one scenario about silence. */
export interface SilenceWorld extends World {
  silentServer?: SilentServer;
  kind: SilentKind;
  failure: string | undefined;
  elapsedMs: number;
  reply: OpenReply;
  received: number;
  peakBytes: number;
  isEnded: boolean;
  isInterrupted: boolean;
  caller?: Socket;
}

/** Waits until a stream has closed, however it ended. */
export function waitClose(stream: Readable): Promise<void> {
  stream.on('error', () => undefined);
  return new Promise(resolve => stream.once('close', () => resolve()));
}

/** Connects a caller by hand and waits until its answer begins. */
export async function openCaller(world: SilenceWorld): Promise<void> {
  const {host, port} = world.silentServer?.address ?? {host: '', port: 0};
  world.caller = connect(port, host);
  world.caller.on('error', () => undefined);
  world.caller.write('GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
  await waitUntil('the answer begins', LIMIT_MS, () => world.peakBytes > 0);
}

/** Sends bytes as fast as the other end takes them, then ends or is silent. */
export function sendBytes(
  world: SilenceWorld,
  exchange: HttpExchange,
  bytes: number,
  isEnding: boolean,
): Effect.Effect<void> {
  const {response} = exchange;
  world.peakBytes = 0;
  return Effect.gen(function* () {
    for (let sent = 0; sent < bytes; sent += CHUNK.length) {
      const hasRoom = response.write(CHUNK);
      world.peakBytes = Math.max(world.peakBytes, response.writableLength);
      if (!hasRoom) yield* waitDrain(exchange);
    }
    if (!isEnding) yield* Effect.never;
    response.end();
  });
}

function waitDrain(exchange: HttpExchange): Effect.Effect<void> {
  return Effect.callback<void>(resume => {
    exchange.response.once('drain', () => resume(Effect.void));
  });
}
