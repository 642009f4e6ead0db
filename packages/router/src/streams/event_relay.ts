import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {readSteadyMs} from '@greengagecross/common';
import type {OutgoingHeaders} from '@greengagecross/http';
import {AttemptFailure, AttemptFailureKind} from '../calls/attempt_failure.js';
import {EventSplitter} from './event_splitter.js';

/**
 * One client's event stream. It outlives the servers' connections: after a
 * cut the rest is relayed from another server, under the first one's headers.
 */
export class EventRelay {
  private lastId: string | undefined;
  private hasStarted = false;
  private firstEventAtMs: number | undefined;
  private lastEventAtMs = 0;
  private longestPauseMs = 0;

  /** @param lastId the last event that the client had before */
  constructor(
    private readonly response: ServerResponse,
    lastId: string | undefined,
  ) {
    this.lastId = lastId;
  }

  /** Tells whether the client was sent a part of the answer. */
  isStarted(): boolean {
    return this.hasStarted;
  }

  /** Gets when the first event was passed on, by the steady clock. */
  getFirstEventAtMs(): number | undefined {
    return this.firstEventAtMs;
  }

  /** Gets the longest time between two events, in milliseconds. */
  getLongestPauseMs(): number {
    return this.longestPauseMs;
  }

  /** Gets the id of the last event that was passed on. */
  getLastId(): string | undefined {
    return this.lastId;
  }

  /**
   * Relays a server's stream to its end, each event as it arrives.
   *
   * The head goes out with the first event, so that a stream that breaks off
   * before it can still be answered otherwise.
   */
  relay(
    stream: IncomingMessage,
    status: number,
    headers: OutgoingHeaders,
    serverId: string,
  ): Effect.Effect<void, AttemptFailure> {
    return Effect.callback<void, AttemptFailure>(resume => {
      const splitter = new EventSplitter(
        this.hasStarted ? this.lastId : undefined,
      );
      let isEnded = false;
      const end = (failure?: AttemptFailureKind, cause?: Error): void => {
        if (isEnded) return;
        isEnded = true;
        stream.off('data', onData);
        if (failure === undefined) {
          resume(Effect.void);
          return;
        }
        stream.destroy();
        resume(Effect.fail(new AttemptFailure(failure, serverId, cause)));
      };
      const onData = (chunk: Buffer): void => {
        try {
          this.write(splitter, chunk, status, headers);
        } catch (thrown) {
          end(AttemptFailureKind.BROKEN, thrown as Error);
          return;
        }
        if (!this.response.writableNeedDrain) return;
        stream.pause();
        this.response.once('drain', () => stream.resume());
      };
      stream.on('data', onData);
      stream.once('end', () => {
        const isWhole = stream.complete && !splitter.hasRest();
        end(isWhole ? undefined : AttemptFailureKind.CUT);
      });
      stream.once('error', error => end(AttemptFailureKind.CUT, error));
      stream.once('close', () => end(AttemptFailureKind.CUT));
      return Effect.sync(() => {
        isEnded = true;
        stream.destroy();
      });
    });
  }

  /** Ends the answer as complete. */
  finish(status: number, headers: OutgoingHeaders): void {
    this.start(status, headers);
    this.response.end();
  }

  /** Ends the answer so that it cannot be taken for complete. */
  closeBroken(): void {
    this.response.destroy();
  }

  private write(
    splitter: EventSplitter,
    chunk: Buffer,
    status: number,
    headers: OutgoingHeaders,
  ): void {
    const {bytes, lastId} = splitter.accept(chunk);
    if (bytes.length === 0) return;
    if (lastId !== undefined) this.lastId = lastId;
    this.recordPause(readSteadyMs());
    this.start(status, headers);
    this.response.write(bytes);
  }

  private recordPause(nowMs: number): void {
    this.firstEventAtMs ??= nowMs;
    const pauseMs = nowMs - Math.max(this.lastEventAtMs, this.firstEventAtMs);
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    this.lastEventAtMs = nowMs;
  }

  private start(status: number, headers: OutgoingHeaders): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    this.response.writeHead(status, headers);
  }
}
