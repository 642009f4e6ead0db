import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {EventSplitter} from './event_splitter.js';

const CHUNK = Buffer.alloc(1000, 'x');

/** World with the work of one splitter, or with its result. */
interface SplitterWorld extends World {
  work: (size: number) => void;
  message: string;
}

/** Text of a stream, by what it holds; `size` is its length. */
const TEXTS: Readonly<Record<string, (size: number) => string>> = {
  'single bytes without a line end': size => 'x'.repeat(size),
  "single bytes of one event's lines": size => 'data: x\n'.repeat(size / 8),
  'single bytes of short events': size => 'data: x\n\n'.repeat(size / 9),
  'lines of one event in one chunk': size => 'data: x\n'.repeat(size / 8),
  'events that the client has': size => 'id: 1\ndata: x\n\n'.repeat(size / 15),
};

Given(
  /^the work of splitting (.+)$/,
  function (this: SplitterWorld, name: string) {
    const make = TEXTS[name];
    assert.ok(make !== undefined, `no bytes ${name}`);
    const isSingle = name.startsWith('single');
    const made = new Map<number, Buffer>();
    this.work = size => {
      const bytes = made.get(size) ?? Buffer.from(make(size));
      made.set(size, bytes);
      const splitter = new EventSplitter(isSingle ? undefined : '5');
      const step = isSingle ? 1 : bytes.length;
      for (let at = 0; at < bytes.length; at += step) {
        splitter.accept(bytes.subarray(at, at + step));
      }
    };
  },
);

When(
  'more than 1 MiB of one event comes in chunks of 1000 bytes',
  function (this: SplitterWorld) {
    const splitter = new EventSplitter();
    this.message = '';
    for (
      let at = 0;
      at <= 2 * 1024 * 1024 && this.message === '';
      at += CHUNK.length
    ) {
      try {
        splitter.accept(CHUNK);
      } catch (thrown) {
        this.message = (thrown as Error).message;
      }
    }
  },
);

Then(
  'the stream is rejected as having too large an event',
  function (this: SplitterWorld) {
    assert.match(this.message, /exceeds the size limit/);
  },
);
