import {Clock, Effect} from 'effect';
import {
  makeRandomId,
  Outcome,
  readNowMs,
  OutcomeReason,
} from '@greengagecross/common';
import type {HttpExchange, OutgoingHeaders} from '@greengagecross/http';
import type {DaemonMetrics} from '../metrics/daemon_metrics.js';
import {RequestKind} from '../metrics/request_kind.js';
import {answerRefusal, buildMalformedHeaders} from './answer_refusal.js';
import type {ChatHandler} from './chat_handler.js';
import type {DirectoryHandler} from './directory_handler.js';
import {makeNotRun, makeStoppingRefusal, type Refusal} from './refusal.js';
import {SERVICE_PREFIX, type ServiceHandler} from './service_handler.js';

/**
 * Routes callers' requests to their handlers and sends the refusals of requests
 * whose response has not started.
 */
export class CallerRouter {
  constructor(
    private readonly directory: DirectoryHandler,
    private readonly chats: ChatHandler,
    private readonly services: ServiceHandler,
    private readonly metrics: DaemonMetrics,
    /**
     * Completes when the daemon stops, i.e. when leaving has ended or is cut
     * short; requests still in flight must then end.
     */
    private readonly awaitAbort: Effect.Effect<void>,
  ) {}

  /** Answers one request on the callers' listener. */
  handle(exchange: HttpExchange): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const requestId = makeRandomId();
      const startMs = yield* Clock.currentTimeMillis;
      const kind = findKind(exchange);
      let outcome = Outcome.COMPLETE;
      let reason = '';
      yield* this.dispatchUntilAbort(kind, exchange, requestId).pipe(
        Effect.catch(refusal =>
          Effect.sync(() => {
            outcome = refusal.outcome;
            reason = refusal.reason;
            // A started stream has reported the refusal in its last event.
            if (exchange.response.headersSent) return;
            answerRefusal(exchange, requestId, refusal);
          }),
        ),
      );
      const endMs = yield* Clock.currentTimeMillis;
      const durationMs = endMs - startMs;
      this.metrics.recordRequest(kind, outcome, reason, durationMs, endMs);
    });
  }

  /**
   * Records bytes that are not a valid request and returns the headers of the
   * answer to them.
   */
  recordMalformedRequest(): OutgoingHeaders {
    const {NOT_RUN} = Outcome;
    const {BAD_REQUEST} = OutcomeReason;
    const nowMs = readNowMs();
    const {OTHER} = RequestKind;
    this.metrics.recordRequest(OTHER, NOT_RUN, BAD_REQUEST, 0, nowMs);
    return buildMalformedHeaders();
  }

  /**
   * Dispatches a request until it ends or the daemon stops. Chats are excepted:
   * their handler aborts them, because it knows whether a stream has started.
   */
  private dispatchUntilAbort(
    kind: RequestKind,
    exchange: HttpExchange,
    requestId: string,
  ): Effect.Effect<void, Refusal> {
    const dispatched = this.dispatch(kind, exchange, requestId);
    if (kind === RequestKind.CHAT) return dispatched;
    const aborted = Effect.flatMap(this.awaitAbort, () =>
      Effect.fail(makeStoppingRefusal()),
    );
    return Effect.raceFirst(dispatched, aborted);
  }

  private dispatch(
    kind: RequestKind,
    exchange: HttpExchange,
    requestId: string,
  ): Effect.Effect<void, Refusal> {
    switch (kind) {
      case RequestKind.DIRECTORY:
        return this.directory.handle(exchange, requestId);
      case RequestKind.CHAT:
        return this.chats.handle(exchange, requestId);
      case RequestKind.SERVICE:
        return this.services.handle(exchange, requestId);
      case RequestKind.OTHER:
        return Effect.fail(
          makeNotRun(OutcomeReason.BAD_REQUEST, 404, 'no such path'),
        );
    }
  }
}

function findKind(exchange: HttpExchange): RequestKind {
  if (exchange.path.startsWith(SERVICE_PREFIX)) return RequestKind.SERVICE;
  if (exchange.path === '/v1/directory') return RequestKind.DIRECTORY;
  if (exchange.path !== '/v1/chat/completions') return RequestKind.OTHER;
  return exchange.method === 'POST' ? RequestKind.CHAT : RequestKind.OTHER;
}
