import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {BackendError, BackendFailure} from '@greengagecross/backend';
import {OUTCOME_EVENT, type OutcomeEvent} from '@greengagecross/common';

const DONE = '[DONE]';

/**
 * One caller's stream of server-sent events, relayed whole event by event.
 *
 * It outlives the engine's connections: after a cut, the rest is relayed from
 * a resumed stream with no event twice or missing.
 */
export class ChatStream {
  private lastIndex = -1;
  private hasStarted = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly headers: Readonly<Record<string, string>>,
  ) {}

  /** Tells whether the caller was sent any part of an answer. */
  isStarted(): boolean {
    return this.hasStarted;
  }

  /** Index of the last event relayed; -1 before the first. */
  getLastIndex(): number {
    return this.lastIndex;
  }

  /** Relays an engine's stream until it says that it is done. */
  relay(
    stream: IncomingMessage,
    backendId: string,
  ): Effect.Effect<void, BackendError> {
    return Effect.callback<void, BackendError>(resume => {
      let isEnded = false;
      const end = (result: Effect.Effect<void, BackendError>): void => {
        if (isEnded) return;
        isEnded = true;
        stream.off('data', onData);
        stream.resume();
        resume(result);
      };
      const fail = (failure: BackendFailure, cause?: Error): void =>
        end(Effect.fail(new BackendError(failure, backendId, cause)));
      const parser = createParser({
        onEvent: event => {
          if (isEnded) return;
          if (event.data === DONE) end(Effect.void);
          else if (!this.write(event)) fail(BackendFailure.BROKEN);
        },
      });
      const onData = (chunk: string): void => {
        parser.feed(chunk);
        if (isEnded || !this.response.writableNeedDrain) return;
        stream.pause();
        this.response.once('drain', () => stream.resume());
      };
      stream.setEncoding('utf8');
      stream.on('data', onData);
      stream.once('end', () => fail(BackendFailure.CUT));
      stream.once('error', error => fail(BackendFailure.CUT, error));
      stream.once('close', () => fail(BackendFailure.CUT));
      return Effect.sync(() => {
        stream.destroy();
      });
    });
  }

  /** Closes the stream; only a complete one carries the done event. */
  finish(event: OutcomeEvent, isComplete: boolean): void {
    this.start();
    const done = isComplete ? `data: ${DONE}\n\n` : '';
    const data = JSON.stringify(event);
    this.response.end(`${done}event: ${OUTCOME_EVENT}\ndata: ${data}\n\n`);
  }

  /** Writes one event unless it was written before; false after a gap. */
  private write(event: EventSourceMessage): boolean {
    const index = event.id === undefined ? this.lastIndex + 1 : +event.id;
    if (index <= this.lastIndex) return true;
    if (index !== this.lastIndex + 1) return false;
    this.start();
    this.lastIndex = index;
    this.response.write(`id: ${index}\ndata: ${event.data}\n\n`);
    return true;
  }

  private start(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    this.response.writeHead(200, {
      ...this.headers,
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
    });
  }
}
