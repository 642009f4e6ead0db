import {Effect} from 'effect';
import {parseChatRequest, type ChatRequest} from '@greengagecross/backend';
import {
  HeaderName,
  Outcome,
  OutcomeReason,
  ServiceKind,
  toError,
  type Service,
  type Ticket,
  type TicketCodec,
} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import {ChatStream} from '../relay/chat_stream.js';
import {buildOutcomeHeaders} from './answer_refusal.js';
import type {Authenticator} from './authenticator.js';
import type {Caller} from './caller.js';
import type {ChatJob} from './chat_attempt.js';
import type {ChatDispatcher} from './chat_dispatcher.js';
import type {CustomerRequestLimiter} from './customer_request_limiter.js';
import {readRequest} from './read_request.js';
import {makeNotRun, makeStoppingRefusal, type Refusal} from './refusal.js';

/** Answers chat completions, as a stream or as one body. */
export class ChatHandler {
  constructor(
    private readonly authenticator: Authenticator,
    private readonly dispatcher: ChatDispatcher,
    private readonly tickets: TicketCodec,
    private readonly requestLimiter: CustomerRequestLimiter,
    /**
     * Completes when the daemon stops, i.e. when leaving has ended or is cut
     * short; requests still in flight must then end.
     */
    private readonly awaitAbort: Effect.Effect<void>,
  ) {}

  /** Answers POST /v1/chat/completions. */
  handle(
    exchange: HttpExchange,
    requestId: string,
  ): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const caller = yield* this.authenticator.verify(exchange);
      const body = yield* readRequest(exchange);
      const request = yield* parseRequest(body);
      const service = yield* findService(caller, request.model);
      // Without a chat header, the request is a chat of its own.
      const chat = exchange.getHeader(HeaderName.CHAT) ?? requestId;
      const job = this.makeJob(exchange, requestId, caller, service, chat, {
        body,
        isStream: request.stream === true,
      });
      yield* this.requestLimiter.run(job.customer, this.dispatchAndFinish(job));
    });
  }

  private makeJob(
    exchange: HttpExchange,
    requestId: string,
    caller: Caller,
    service: Service,
    chat: string,
    request: {readonly body: Buffer; readonly isStream: boolean},
  ): ChatJob {
    const headers = buildOutcomeHeaders(Outcome.COMPLETE, requestId);
    // Only the request id remains: a stream reports its outcome in its last
    // event.
    delete headers[HeaderName.OUTCOME];
    const {customer} = caller;
    return {
      exchange,
      requestId,
      customer,
      service,
      chat,
      ticket: this.decodeTicket(exchange, customer.id, chat),
      body: request.body,
      stream: request.isStream
        ? new ChatStream(exchange.response, headers)
        : undefined,
    };
  }

  private decodeTicket(
    exchange: HttpExchange,
    customer: string,
    chat: string,
  ): Ticket | undefined {
    const text = exchange.getHeader(HeaderName.TICKET);
    if (text === undefined) return undefined;
    return this.tickets.decode(text, customer, chat);
  }

  /** Dispatches a job; a started stream reports a refusal in its last event. */
  private dispatchAndFinish(job: ChatJob): Effect.Effect<void, Refusal> {
    return this.dispatcher.dispatch(job).pipe(
      Effect.raceFirst(
        Effect.flatMap(this.awaitAbort, () =>
          Effect.fail(makeStoppingRefusal()),
        ),
      ),
      Effect.catch(refusal => {
        if (job.stream?.isStarted() !== true) return Effect.fail(refusal);
        const {outcome, reason} = refusal;
        const event = {outcome, reason, requestId: job.requestId};
        job.stream.finish(event, false);
        return Effect.fail(refusal);
      }),
    );
  }
}

function parseRequest(body: Buffer): Effect.Effect<ChatRequest, Refusal> {
  return Effect.try({
    try: () => parseChatRequest(body.toString()),
    catch: thrown =>
      makeNotRun(OutcomeReason.BAD_REQUEST, 400, toError(thrown).message),
  });
}

function findService(
  caller: Caller,
  model: string,
): Effect.Effect<Service, Refusal> {
  const service = caller.view.findService(model);
  if (service?.kind !== ServiceKind.ENGINE) {
    return Effect.fail(
      makeNotRun(OutcomeReason.UNKNOWN_MODEL, 404, 'no such model'),
    );
  }
  if (!caller.customer.services.includes(service.name)) {
    return Effect.fail(
      makeNotRun(
        OutcomeReason.FORBIDDEN,
        403,
        'this customer may not use the model',
      ),
    );
  }
  return Effect.succeed(service);
}
