import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Fiber} from 'effect';
import {ChatStream} from './chat_stream.js';
import {makeCompletionId, StreamCheck} from './stream_check.js';

const ATTEMPT = 'attempt';
const LINE_ENDS: Readonly<Record<string, string>> = {
  LF: '\n',
  CR: '\r',
  CRLF: '\r\n',
};

/** World with the work of one relay, and with what a relay has written. */
interface RelayGrowthWorld extends World {
  work: (size: number) => void;
  written: string;
}

/** Chunks of a reply, by what they hold. */
const CHUNKS: Readonly<Record<string, (size: number) => string[]>> = {
  'carriage returns in one chunk': size => ['\r'.repeat(size)],
  'line feeds after one carriage return': size => ['\r' + '\n'.repeat(size)],
  'comments that end in a carriage return': size => [':\r'.repeat(size / 2)],
  'single bytes without a line end': size => Array(size).fill('x') as string[],
};

/** Reply whose chunks are read when the test gives them. */
class ReplyStandin extends EventEmitter {
  setEncoding(): void {}
}

/** Response to a caller that reads at once. */
class ResponseStandin {
  readonly writableNeedDrain = false;
  text = '';

  writeHead(): void {}

  write(text: string): void {
    this.text += text;
  }
}

/** Relays chunks of one reply; returns what was written to the caller. */
function relayChunks(chunks: readonly string[]): string {
  const reply = Object.assign(new ReplyStandin(), {destroy: () => undefined});
  const response = new ResponseStandin();
  const stream = new ChatStream(response as unknown as ServerResponse, {});
  const relay = stream.relay(
    reply as unknown as IncomingMessage,
    'engine',
    new StreamCheck(ATTEMPT),
  );
  const fiber = Effect.runFork(relay);
  for (const chunk of chunks) reply.emit('data', chunk);
  reply.emit('end');
  Effect.runFork(Fiber.interrupt(fiber));
  return response.text;
}

function makeEvent(index: number, lineEnd: string): string {
  const id = makeCompletionId(ATTEMPT);
  const data = JSON.stringify({id, choices: [{finish_reason: null}]});
  return `id: ${index}${lineEnd}data: ${data}${lineEnd}${lineEnd}`;
}

Given(
  /^the work of relaying (.+)$/,
  function (this: RelayGrowthWorld, name: string) {
    const make = CHUNKS[name];
    assert.ok(make !== undefined, `no bytes ${name}`);
    const made = new Map<number, string[]>();
    this.work = size => {
      const chunks = made.get(size) ?? make(size);
      made.set(size, chunks);
      assert.equal(relayChunks(chunks), '');
    };
  },
);

When(
  /^a chat's stream of three events comes with line ends of (\S+), split at each byte$/,
  function (this: RelayGrowthWorld, ends: string) {
    const lineEnd = LINE_ENDS[ends] ?? '';
    // The last line end of a stream of CRs is known once another byte follows.
    const text = [0, 1, 2].map(index => makeEvent(index, lineEnd)).join('');
    this.written = relayChunks([...text, ':']);
  },
);

Then('the three events are relayed', function (this: RelayGrowthWorld) {
  const expected = [0, 1, 2].map(index => makeEvent(index, '\n')).join('');
  assert.equal(this.written, expected);
});
