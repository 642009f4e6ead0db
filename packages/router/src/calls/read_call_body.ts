import {Effect} from 'effect';
import {HttpFailure, type HttpExchange} from '@greengagecross/http';
import {CallOutcome} from './call_answer.js';

/**
 * Reads the body of a request. Fails with the outcome of the request if the body
 * is refused; the connection then closes after the reply. If the body is not
 * received to its end, `onNotReceived` is called, and nothing is left to answer:
 * the listener closes the connection, or has answered the request.
 */
export function readCallBody(
  exchange: HttpExchange,
  maxBytes: number,
  onNotReceived: (outcome: CallOutcome) => void,
): Effect.Effect<Buffer, CallOutcome> {
  const record = Effect.sync(() =>
    onNotReceived(toOutcome(exchange.getReceiptFailure())),
  );
  return exchange.readBody(maxBytes).pipe(
    Effect.catch(({failure}) => {
      const outcome = toOutcome(failure);
      const isRefused =
        outcome === CallOutcome.TOO_LARGE || outcome === CallOutcome.OVERLOADED;
      // The connection closes, which interrupts the handling of the request.
      if (!isRefused) return Effect.never;
      return Effect.andThen(closeAfterReply(exchange), Effect.fail(outcome));
    }),
    Effect.onInterrupt(() => record),
  );
}

/** The rest of the body is not read, so that no other request can follow it. */
function closeAfterReply({
  request,
  response,
}: HttpExchange): Effect.Effect<void> {
  return Effect.sync(() => {
    response.setHeader('connection', 'close');
    response.once('finish', () => request.destroy());
  });
}

function toOutcome(failure: HttpFailure): CallOutcome {
  switch (failure) {
    case HttpFailure.TOO_LARGE:
      return CallOutcome.TOO_LARGE;
    case HttpFailure.OVERLOADED:
      return CallOutcome.OVERLOADED;
    case HttpFailure.MALFORMED_REQUEST:
      return CallOutcome.BODY_MALFORMED;
    case HttpFailure.TIMED_OUT:
      return CallOutcome.BODY_TIMED_OUT;
    default:
      return CallOutcome.BODY_CUT;
  }
}
