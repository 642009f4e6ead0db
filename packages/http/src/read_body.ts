import type {IncomingMessage} from 'node:http';
import {Effect} from 'effect';
import {processBuffers, type BufferBudget} from './buffer_budget.js';
import {ByteCollector} from './byte_collector.js';
import {ExchangeTimeoutError} from './exchange_timeouts.js';
import {HttpError} from './http_error.js';
import {HttpFailure} from './http_failure.js';
import {isMalformedReply} from './malformed_reply_error.js';
import {RequestPhase} from './request_phase.js';

/**
 * Reads a body to its end. Fails with `CLOSED` if the body is truncated, with
 * the failure of a timeout that ended the exchange, with `MALFORMED` if the
 * chunks of a reply are malformed, with `TOO_LARGE` if it exceeds `maxBytes`, and
 * with `OVERLOADED` if it is the largest when the bodies that are being read
 * exceed the budget.
 *
 * @param target names the other end in the error.
 */
export function readBody(
  stream: IncomingMessage,
  maxBytes: number,
  target: string,
  budget: BufferBudget = processBuffers,
): Effect.Effect<Buffer, HttpError> {
  return Effect.callback<Buffer, HttpError>(resume => {
    const collector = new ByteCollector();
    const holder = {onEvicted: () => stop(HttpFailure.OVERLOADED)};
    const release = (): void => {
      budget.release(holder);
      stream.off('data', onData);
    };
    const stop = (failure: HttpFailure, cause?: Error): void => {
      release();
      const received = collector.take().length;
      stream.pause();
      const phase = RequestPhase.MAYBE_SENT;
      resume(
        Effect.fail(new HttpError(failure, phase, target, cause, received)),
      );
    };
    const onData = (chunk: Buffer): void => {
      collector.add(chunk);
      if (collector.getLength() > maxBytes) stop(HttpFailure.TOO_LARGE);
      else budget.update(holder, collector.getCapacity());
    };
    stream.on('data', onData);
    stream.once('end', () => {
      release();
      resume(Effect.succeed(collector.take()));
    });
    stream.once('error', error => stop(toFailure(error), error));
    stream.once('close', () => {
      if (!stream.complete) stop(HttpFailure.CLOSED);
    });
    return Effect.sync(release);
  });
}

function toFailure(error: Error): HttpFailure {
  if (error instanceof ExchangeTimeoutError) return error.failure;
  return isMalformedReply(error) ? HttpFailure.MALFORMED : HttpFailure.CLOSED;
}
