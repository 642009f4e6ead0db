import {Clock, Effect} from 'effect';
import {
  BackendError,
  BackendFailure,
  BackendHeader,
  isKnownNotRun,
  type BackendCall,
  type EngineClient,
} from '@greengagecross/backend';
import {
  HeaderName,
  Outcome,
  type BackendServer,
  type Customer,
  type Service,
  type Ticket,
} from '@greengagecross/common';
import type {RequestDeadline} from '@greengagecross/decisions';
import {
  discardBody,
  readBody,
  type HttpExchange,
  type OpenReply,
} from '@greengagecross/http';
import type {ChatStream} from '../relay/chat_stream.js';
import {isCompleteAnswer} from '../relay/is_complete_answer.js';
import {StreamCheck} from '../relay/stream_check.js';
import {buildOutcomeHeaders} from './answer_refusal.js';
import type {NextTurn, NextTurnFactory} from './next_turn_factory.js';

const MAX_REPLY_BYTES = 16 * 1024 * 1024;
const MAX_RESUMES = 3;

/** A validated chat request, ready to be dispatched. */
export interface ChatJob {
  readonly exchange: HttpExchange;
  readonly requestId: string;
  readonly customer: Customer;
  readonly service: Service;
  readonly chat: string;
  readonly ticket: Ticket | undefined;
  readonly body: Buffer;
  /** Undefined when the caller did not request a stream. */
  readonly stream: ChatStream | undefined;
}

/** Runs one attempt of a chat request, i.e. one send of it to one engine. */
export class ChatAttempt {
  constructor(
    private readonly engines: EngineClient,
    private readonly nextTurnFactory: NextTurnFactory,
  ) {}

  /** Runs the attempt until the complete answer has been sent to the caller. */
  run(
    job: ChatJob,
    server: BackendServer,
    attemptId: string,
    deadline: RequestDeadline,
  ): Effect.Effect<void, BackendError> {
    const callWithoutDeadline = {
      server,
      attemptId,
      customer: job.customer.id,
      chat: job.chat,
      priority: job.service.priority,
    };
    return Effect.flatMap(Clock.currentTimeMillis, nowMs =>
      this.runCall(job, {
        ...callWithoutDeadline,
        deadlineMs: deadline.computeRemainingMs(nowMs),
      }),
    );
  }

  private runCall(
    job: ChatJob,
    call: BackendCall,
  ): Effect.Effect<void, BackendError> {
    const {server} = call;
    return Effect.gen({self: this}, function* () {
      const reply = yield* this.engines.open(call, job.body);
      yield* checkAttemptId(reply, call);
      if (reply.status >= 500) {
        discardBody(reply.stream);
        yield* Effect.fail(
          new BackendError(BackendFailure.INVALID_REPLY, server.id),
        );
      }
      // Any other status below 500 is relayed as the engine's final reply.
      if (job.stream === undefined || reply.status !== 200) {
        yield* this.relayBody(job, call, reply);
        return;
      }
      yield* this.relayStream(job, job.stream, call, reply);
    }).pipe(
      Effect.tapError(error =>
        isKnownNotRun(error.failure) ? Effect.void : this.cancel(call),
      ),
      Effect.onInterrupt(() => this.cancel(call)),
    );
  }

  /**
   * Starts to cancel the call at the engine, without waiting for the reply to
   * the cancellation. Errors are ignored, because the engine may be gone.
   */
  private cancel(call: BackendCall): Effect.Effect<void> {
    return this.engines
      .cancel(call)
      .pipe(Effect.ignore, Effect.forkDetach, Effect.asVoid);
  }

  private relayBody(
    job: ChatJob,
    call: BackendCall,
    reply: OpenReply,
  ): Effect.Effect<void, BackendError> {
    return readBody(reply.stream, MAX_REPLY_BYTES, call.server.id).pipe(
      Effect.mapError(
        error =>
          new BackendError(BackendFailure.DISCONNECTED, call.server.id, error),
      ),
      Effect.filterOrFail(
        body =>
          reply.status !== 200 ||
          isCompleteAnswer(body.toString(), call.attemptId),
        () => new BackendError(BackendFailure.INVALID_REPLY, call.server.id),
      ),
      Effect.zip(this.makeNextTurn(job, call, reply)),
      Effect.map(([body, {ticket, address}]) => {
        const headers = {
          ...buildOutcomeHeaders(Outcome.COMPLETE, job.requestId),
          [HeaderName.TICKET]: ticket,
          [HeaderName.ADDRESS]: address,
          'content-type': reply.headers['content-type'] ?? 'application/json',
        };
        job.exchange.send(reply.status, headers, body);
      }),
    );
  }

  private relayStream(
    job: ChatJob,
    stream: ChatStream,
    call: BackendCall,
    firstReply: OpenReply,
  ): Effect.Effect<void, BackendError> {
    const {id} = call.server;
    const check = new StreamCheck(call.attemptId);
    const resumeAfter = (
      failed: BackendError,
      resumesLeft: number,
    ): Effect.Effect<void, BackendError> => {
      const isDisconnected = failed.failure === BackendFailure.DISCONNECTED;
      if (!isDisconnected || resumesLeft === 0) return Effect.fail(failed);
      return this.engines.resume(call, check.getLastIndex()).pipe(
        Effect.tap(reply => checkAttemptId(reply, call)),
        Effect.mapError(() => failed),
        Effect.flatMap(reply =>
          reply.status === 200
            ? stream.relay(reply.stream, id, check)
            : Effect.fail(failed),
        ),
        Effect.catch(error => resumeAfter(error, resumesLeft - 1)),
      );
    };
    return stream.relay(firstReply.stream, id, check).pipe(
      Effect.catch(error => resumeAfter(error, MAX_RESUMES)),
      Effect.andThen(this.makeNextTurn(job, call, firstReply)),
      Effect.map(nextTurn => {
        const {requestId} = job;
        const event = {outcome: Outcome.COMPLETE, requestId, ...nextTurn};
        stream.finish(event, true);
      }),
    );
  }

  private makeNextTurn(
    job: ChatJob,
    call: BackendCall,
    reply: OpenReply,
  ): Effect.Effect<NextTurn> {
    const tokens = Number(reply.headers[BackendHeader.PROMPT_TOKENS] ?? 0);
    const contextTokens = Number.isSafeInteger(tokens) ? tokens : 0;
    return this.nextTurnFactory.make(job, call.server.id, contextTokens);
  }
}

/**
 * Fails with INVALID_REPLY when a reply belongs to another attempt; the request
 * id header of a backend server's reply holds the attempt's id.
 */
function checkAttemptId(
  reply: OpenReply,
  call: BackendCall,
): Effect.Effect<void, BackendError> {
  const replyId = reply.headers[BackendHeader.REQUEST_ID];
  if (replyId === call.attemptId) return Effect.void;
  reply.stream.destroy();
  return Effect.fail(
    new BackendError(BackendFailure.INVALID_REPLY, call.server.id),
  );
}
