import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {createParser} from 'eventsource-parser';
import {BackendError, BackendFailure} from '@greengagecross/backend';
import {OUTCOME_EVENT, type OutcomeEvent} from '@greengagecross/common';
import {discardBody} from '@greengagecross/http';
import {LineEnds} from './line_ends.js';
import {EventVerdict, type StreamCheck} from './stream_check.js';

/** Data of the last event of a complete answer (the done event). */
const DONE = '[DONE]';
const MAX_EVENT_CHARACTERS = 1024 * 1024;

/**
 * Stream of server-sent events to one caller; only complete events are relayed.
 *
 * The stream stays open when a connection to the engine breaks: the remaining
 * events are then relayed from a resumed stream, with no event duplicated or
 * missing.
 */
export class ChatStream {
  private hasStarted = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly headers: Readonly<Record<string, string>>,
  ) {}

  /** Returns whether the response to the caller has started. */
  isStarted(): boolean {
    return this.hasStarted;
  }

  /**
   * Relays an engine's stream until its done event.
   *
   * Fails with INVALID_REPLY when an event is invalid or out of sequence, and
   * with DISCONNECTED when the stream ends before its done event.
   *
   * @param check checks the attempt's events; the same object for all
   *     connections of the attempt.
   */
  relay(
    stream: IncomingMessage,
    backendId: string,
    check: StreamCheck,
  ): Effect.Effect<void, BackendError> {
    return Effect.callback<void, BackendError>(complete => {
      let isEnded = false;
      const end = (result: Effect.Effect<void, BackendError>): void => {
        if (isEnded) return;
        isEnded = true;
        stream.off('data', onData);
        complete(result);
      };
      const fail = (failure: BackendFailure, cause?: Error): void => {
        end(Effect.fail(new BackendError(failure, backendId, cause)));
        stream.destroy();
      };
      const parser = createParser({
        maxBufferSize: MAX_EVENT_CHARACTERS,
        onError: error => fail(BackendFailure.INVALID_REPLY, error),
        onEvent: event => {
          if (isEnded) return;
          switch (check.accept(event)) {
            case EventVerdict.RELAY:
              this.write(check.getLastIndex(), event.data);
              break;
            case EventVerdict.SKIP:
              break;
            case EventVerdict.DONE:
              end(Effect.void);
              // Reads what follows the done event.
              discardBody(stream);
              break;
            case EventVerdict.BROKEN:
              fail(BackendFailure.INVALID_REPLY);
              break;
          }
        },
      });
      const lineEnds = new LineEnds();
      const onData = (chunk: string): void => {
        parser.feed(lineEnds.toLineFeeds(chunk));
        if (isEnded || !this.response.writableNeedDrain) return;
        stream.pause();
        this.response.once('drain', () => stream.resume());
      };
      stream.setEncoding('utf8');
      stream.on('data', onData);
      stream.once('end', () => fail(BackendFailure.DISCONNECTED));
      stream.once('error', error => fail(BackendFailure.DISCONNECTED, error));
      stream.once('close', () => fail(BackendFailure.DISCONNECTED));
      return Effect.sync(() => {
        stream.destroy();
      });
    });
  }

  /**
   * Ends the stream with its outcome event, preceded by the done event only
   * when the answer is complete. Starts the response if necessary.
   */
  finish(event: OutcomeEvent, isComplete: boolean): void {
    this.start();
    const done = isComplete ? `data: ${DONE}\n\n` : '';
    const data = JSON.stringify(event);
    this.response.end(`${done}event: ${OUTCOME_EVENT}\ndata: ${data}\n\n`);
  }

  private write(index: number, data: string): void {
    this.start();
    this.response.write(`id: ${index}\ndata: ${data}\n\n`);
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
