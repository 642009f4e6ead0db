import type {IncomingMessage} from 'node:http';
import {Effect} from 'effect';
import {readSteadyMs, toError} from '@greengagecross/common';
import {
  discardBody,
  HttpFailure,
  RequestPhase,
  type HttpClient,
  type HttpError,
  type OpenReply,
  type OutgoingRequest,
} from '@greengagecross/http';
import type {BackendReplyHead} from '../model/backend_reply_head.js';
import type {BackendServer} from '../model/backend_server.js';
import type {DispatchFields} from '../model/dispatch_fields.js';
import type {CallCodec} from '../ports/call_codec.js';
import {AttemptFailure, AttemptFailureKind} from './attempt_failure.js';
import type {AttemptRecorder} from './attempt_recorder.js';
import type {CallJob} from './call_job.js';
import type {InFlightCounter} from './in_flight_counter.js';
import type {ServerChoice} from './server_choice.js';

/**
 * Maximum time to open a connection. A round trip takes a few milliseconds; a
 * lost first packet is retransmitted only after one second.
 */
const CONNECT_TIMEOUT_MS = 350;
/**
 * Status of a server that received a request meant for another server; it did
 * not run the request.
 */
const MISDIRECTED_STATUS = 421;
/** Statuses that guarantee to a client that its request is never run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A reply whose head was validated as belonging to the request. */
export interface AttemptReply {
  readonly head: BackendReplyHead;
  /** The reply body, not read yet. */
  readonly stream: IncomingMessage;
  /** To be called with each event of a stream that the server has written. */
  readonly onEvent: () => void;
}

/** A validated reply before its body is read. */
type OpenedReply = Omit<AttemptReply, 'onEvent'>;

/** Server and silence timeout of an attempt. */
export interface AttemptPlan extends ServerChoice {
  /** Id of the event after which a stream resumes, if any. */
  readonly lastEventId?: string;
  /** Maximum time without a byte from the server, in milliseconds. */
  readonly silenceTimeoutMs: number;
  /** Whether the attempt may end for its server's silence; by default it may. */
  readonly mayEndSilent?: () => boolean;
  /**
   * Whether another attempt has answered the request; the cancellation of this
   * one then says nothing about its server. By default none has.
   */
  readonly isSuperseded?: () => boolean;
}

/** Makes attempts: sends a request once to one backend server. */
export class BackendAttempts {
  constructor(
    private readonly client: HttpClient,
    private readonly codec: CallCodec,
    private readonly inFlight: InFlightCounter,
    private readonly recorder: AttemptRecorder,
  ) {}

  /**
   * Runs one attempt, which counts as in flight until `handleReply` has ended.
   *
   * @param handleReply reads the reply body
   */
  run<A>(
    job: CallJob,
    plan: AttemptPlan,
    handleReply: (reply: AttemptReply) => Effect.Effect<A, AttemptFailure>,
  ): Effect.Effect<A, AttemptFailure> {
    const {server} = plan;
    return Effect.suspend(() => {
      const startedAtMs = readSteadyMs();
      const progress = {startedAtMs, hasHead: false, hasEvent: false};
      const onEvent = (): void => this.recorder.recordEvent(job, progress);
      this.inFlight.add(server.id);
      this.recorder.recordSend(server.id, startedAtMs);
      job.trace.attempts.push(server.id);
      return this.open(job, plan).pipe(
        Effect.tap(({head}) =>
          Effect.sync(() => {
            progress.hasHead = true;
            this.recorder.recordReply(server.id, head, startedAtMs);
          }),
        ),
        Effect.flatMap(opened => handleReply({...opened, onEvent})),
        Effect.tapError(failure =>
          this.recorder.recordFailure(job, server, failure, progress),
        ),
        Effect.onInterrupt(() =>
          Effect.sync(() => {
            if (!progress.hasHead && plan.isSuperseded?.() !== true) {
              this.recorder.recordCancelled(server.id, startedAtMs);
            }
          }),
        ),
        Effect.ensuring(Effect.sync(() => this.inFlight.remove(server.id))),
      );
    });
  }

  private open(
    job: CallJob,
    plan: AttemptPlan,
  ): Effect.Effect<OpenedReply, AttemptFailure> {
    const {server} = plan;
    const outgoing = {
      address: server.address,
      method: job.call.method,
      path: job.call.target,
      headers: this.codec.buildBackendHeaders(
        job.call,
        makeDispatchFields(job, plan),
      ),
      body: job.body,
      ...makeReplyId(this.codec, job),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      silenceMs: plan.silenceTimeoutMs,
      ...(plan.mayEndSilent === undefined
        ? {}
        : {mayEndSilent: plan.mayEndSilent}),
    };
    return this.client.open(outgoing).pipe(
      Effect.mapError(error => toAttemptFailure(server.id, error)),
      Effect.flatMap(reply => this.checkReply(job, server, reply)),
    );
  }

  private checkReply(
    job: CallJob,
    server: BackendServer,
    reply: OpenReply,
  ): Effect.Effect<OpenedReply, AttemptFailure> {
    const {stream} = reply;
    stream.on('error', () => undefined);
    const head = this.codec.decodeReply(job.call, reply);
    // A server with another id refuses with this status; the notice is its own.
    if (head.isReplyToRequest && head.status !== MISDIRECTED_STATUS) {
      this.recorder.recordNotices(server, head);
    }
    const isRefusal = head.isNotRun || head.status === MISDIRECTED_STATUS;
    if (head.isReplyToRequest && isRefusal) {
      // A refusal without an id may be sent once more for the next request on
      // the connection, which the server may run; so no request follows it.
      if (head.hasRequestId) discardBody(stream);
      else stream.destroy();
      if (head.status === MISDIRECTED_STATUS && head.hasRequestId) {
        this.recorder.recordReplaced(server);
      }
      return makeFailure(AttemptFailureKind.NOT_RUN, server.id, reply);
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    // A client reads these statuses as a guarantee that its request is not run,
    // which this server did not give.
    const isNotRunStatus = NOT_RUN_STATUSES.has(head.status);
    const isUntrusted = isNotRunStatus || (isSuccess && !head.isSigned);
    if (!head.isReplyToRequest || isUntrusted) {
      stream.destroy();
      return makeFailure(AttemptFailureKind.INVALID_REPLY, server.id, reply);
    }
    return Effect.succeed({head, stream});
  }
}

function makeDispatchFields(job: CallJob, plan: AttemptPlan): DispatchFields {
  const remainingMs = Math.max(1, Math.floor(job.dueAtMs - readSteadyMs()));
  const {customer, priority} = job;
  return {
    serverId: plan.server.id,
    remainingMs,
    priority,
    ...(plan.cacheSource === undefined ? {} : {cacheSource: plan.cacheSource}),
    ...(customer === undefined ? {} : {customer}),
    ...(plan.lastEventId === undefined ? {} : {lastEventId: plan.lastEventId}),
  };
}

function makeFailure(
  kind: AttemptFailureKind,
  serverId: string,
  {status, connectionUse}: OpenReply,
): Effect.Effect<never, AttemptFailure> {
  const reply = {status, ...connectionUse};
  return Effect.fail(new AttemptFailure(kind, serverId, undefined, reply));
}

function makeReplyId(
  codec: CallCodec,
  {call}: CallJob,
): Pick<OutgoingRequest, 'replyId'> {
  const replyId = codec.getReplyId(call);
  return replyId === undefined ? {} : {replyId};
}

function toAttemptFailure(serverId: string, error: HttpError): AttemptFailure {
  const cause = toError(error);
  if (error.phase === RequestPhase.NOT_SENT) {
    return new AttemptFailure(AttemptFailureKind.NOT_SENT, serverId, cause);
  }
  return new AttemptFailure(toFailureKind(error), serverId, cause);
}

function toFailureKind({failure}: HttpError): AttemptFailureKind {
  switch (failure) {
    case HttpFailure.SILENT:
      return AttemptFailureKind.SILENT;
    case HttpFailure.MALFORMED:
      return AttemptFailureKind.INVALID_REPLY;
    default:
      return AttemptFailureKind.DISCONNECTED;
  }
}
