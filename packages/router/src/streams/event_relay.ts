import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {readSteadyMs} from '@greengagecross/common';
import {
  isMalformedReply,
  processBuffers,
  type OutgoingHeaders,
} from '@greengagecross/http';
import type {BackendReplyHead} from '../model/backend_reply_head.js';
import {AttemptFailure, AttemptFailureKind} from '../calls/attempt_failure.js';
import {EventSplitter} from './event_splitter.js';
import {StallTimer} from './stall_timer.js';

/**
 * Relays an event stream to one client. The stream can span several server
 * connections: after a disconnect the remaining events come from another server,
 * under the response headers of the first.
 */
export class EventRelay {
  private lastEventId: string | undefined;
  private hasStarted = false;
  private firstEventAtMs: number | undefined;
  private lastEventAtMs = 0;
  private longestPauseMs = 0;

  /** @param lastEventId last event that the client received before, if any */
  constructor(
    private readonly response: ServerResponse,
    lastEventId: string | undefined,
  ) {
    this.lastEventId = lastEventId;
  }

  /** Returns whether any part of the answer was sent to the client. */
  isStarted(): boolean {
    return this.hasStarted;
  }

  /**
   * Returns when the first event was forwarded, on the monotonic clock; undefined
   * before the first event.
   */
  getFirstEventAtMs(): number | undefined {
    return this.firstEventAtMs;
  }

  /** Returns the longest pause between two events, in milliseconds. */
  getLongestPauseMs(): number {
    return this.longestPauseMs;
  }

  /** Returns the id of the last event that the client has, if any. */
  getLastEventId(): string | undefined {
    return this.lastEventId;
  }

  /**
   * Forwards a server's stream to its end, each event as it arrives. Once the
   * response has started, events up to the last one forwarded are dropped, so
   * that the client gets no event twice from another server. Before that nothing
   * is dropped, also when the client sent the id of its last event.
   *
   * The response head is sent with the first event, so that another answer is
   * still possible when the server disconnects before any event.
   *
   * @param stallTimeoutMs maximum time without a complete event, in milliseconds.
   *     Other bytes do not count: a stalled server may send some now and then.
   * @param mayEndSilent asked once that time has passed, and repeatedly from
   *     then on: the stream is relayed further while it returns false
   * @param onEvent called when events with data have been received
   */
  forward(
    stream: IncomingMessage,
    {status, headers}: BackendReplyHead,
    serverId: string,
    stallTimeoutMs: number,
    mayEndSilent: () => boolean = () => true,
    onEvent: () => void = () => undefined,
  ): Effect.Effect<void, AttemptFailure> {
    return Effect.callback<void, AttemptFailure>(resume => {
      const splitter = new EventSplitter(
        this.hasStarted ? this.lastEventId : undefined,
      );
      let isEnded = false;
      let isBegun = false;
      const holder = {
        onEvicted: () => end(AttemptFailureKind.INVALID_REPLY),
      };
      const end = (failure?: AttemptFailureKind, cause?: Error): void => {
        if (isEnded) return;
        isEnded = true;
        stallTimer.stop();
        processBuffers.release(holder);
        stream.off('data', onData);
        if (failure === undefined) {
          resume(Effect.void);
          return;
        }
        stream.destroy();
        resume(Effect.fail(new AttemptFailure(failure, serverId, cause)));
      };
      // The client applies backpressure while it does not read: no event can
      // be forwarded then, even if the server is sound.
      const stallTimer = new StallTimer(
        stallTimeoutMs,
        () => this.response.writableNeedDrain,
        () => end(AttemptFailureKind.SILENT),
        mayEndSilent,
      );
      const onData = (chunk: Buffer): void => {
        try {
          const hasEvent = this.write(splitter, chunk, status, headers);
          if (hasEvent) {
            isBegun = true;
            stallTimer.recordProgress();
            onEvent();
          }
        } catch (thrown) {
          end(AttemptFailureKind.INVALID_REPLY, thrown as Error);
          return;
        }
        processBuffers.update(holder, splitter.getHeldBytes());
        if (!this.response.writableNeedDrain) return;
        stream.pause();
        this.response.once('drain', () => stream.resume());
      };
      stream.on('data', onData);
      stream.once('end', () => {
        // Without a length or chunks, a server that stops before its first event
        // looks like one that has nothing to write.
        const isEmpty = !isBegun && !isFramed(stream);
        const isComplete =
          stream.complete && !isEmpty && !splitter.hasIncompleteEvent();
        end(isComplete ? undefined : AttemptFailureKind.DISCONNECTED);
      });
      stream.once('error', error => {
        const kind = isMalformedReply(error)
          ? AttemptFailureKind.INVALID_REPLY
          : AttemptFailureKind.DISCONNECTED;
        end(kind, error);
      });
      stream.once('close', () => end(AttemptFailureKind.DISCONNECTED));
      return Effect.sync(() => {
        isEnded = true;
        stallTimer.stop();
        processBuffers.release(holder);
        stream.destroy();
      });
    });
  }

  /** Ends the response as complete. */
  finish(status: number, headers: OutgoingHeaders): void {
    this.start(status, headers);
    this.response.end();
  }

  /** Aborts the connection, so that the client sees a truncated response. */
  closeIncomplete(): void {
    this.response.destroy();
  }

  /** Forwards the complete events; returns whether there was any. */
  private write(
    splitter: EventSplitter,
    chunk: Buffer,
    status: number,
    headers: OutgoingHeaders,
  ): boolean {
    const {bytes, lastId, hasData} = splitter.accept(chunk);
    if (bytes.length === 0) return false;
    if (lastId !== undefined) this.lastEventId = lastId;
    if (hasData) this.recordPause(readSteadyMs());
    this.start(status, headers);
    this.response.write(bytes);
    return hasData;
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
    this.response.writeHead(status, removeLength(headers));
  }
}

/**
 * Removes the length of the first server's reply: events of another one may
 * follow, whose text is shorter or longer. Without it the response is chunked.
 */
function removeLength(headers: OutgoingHeaders): OutgoingHeaders {
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => name !== 'content-length'),
  );
}

/** Returns whether the end of a reply is marked other than by its connection. */
function isFramed({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
