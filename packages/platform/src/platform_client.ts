import {Effect, Schema} from 'effect';
import {decodeJson, toError, type Address} from '@greengagecross/common';
import {
  RequestPhase,
  type HttpClient,
  type HttpError,
  type HttpReply,
  type OutgoingHeaders,
} from '@greengagecross/http';
import {PlatformError} from './platform_error.js';
import {PlatformFailure} from './platform_failure.js';

/**
 * Added to the timeout of a call to get the bound of the whole call: ends replies
 * that trickle.
 */
const TRANSFER_TIMEOUT_MS = 30_000;
/** HTTP statuses of completed calls: OK, not modified, not found. */
const COMPLETED_STATUSES: readonly number[] = [200, 304, 404];

/** HTTP client of the platform's API; it reports failures as PlatformError. */
export class PlatformClient {
  constructor(
    private readonly httpClient: HttpClient,
    private readonly address: Address,
    private readonly timeoutMs: number,
  ) {}

  /** Sends one call; fails on every status other than 200, 304 and 404. */
  send(
    method: string,
    path: string,
    body?: string | Buffer,
    headers: OutgoingHeaders = {},
  ): Effect.Effect<HttpReply, PlatformError> {
    const call = `${method} ${path}`;
    return this.httpClient
      .send({
        address: this.address,
        method,
        path,
        headers,
        connectTimeoutMs: this.timeoutMs,
        silenceMs: this.timeoutMs,
        totalTimeoutMs: this.timeoutMs + TRANSFER_TIMEOUT_MS,
        ...(body === undefined ? {} : {body}),
      })
      .pipe(
        Effect.mapError(error => toPlatformError(call, error)),
        Effect.flatMap(reply => checkStatus(call, reply)),
      );
  }

  /**
   * Sends a call with a JSON body and decodes the JSON reply.
   *
   * The body of a 404 is decoded as well. Fails with UNCERTAIN if the reply does
   * not match the schema.
   *
   * @param body value to send as JSON; undefined sends no body.
   */
  requestJson<S extends Schema.ConstraintDecoder<unknown>>(
    method: string,
    path: string,
    body: unknown,
    schema: S,
  ): Effect.Effect<S['Type'], PlatformError> {
    const call = `${method} ${path}`;
    const text = body === undefined ? undefined : JSON.stringify(body);
    return Effect.flatMap(this.send(method, path, text), reply =>
      Effect.try({
        try: () => decodeJson(schema, reply.body.toString(), call),
        catch: thrown =>
          new PlatformError(PlatformFailure.UNCERTAIN, call, toError(thrown)),
      }),
    );
  }
}

function toPlatformError(call: string, error: HttpError): PlatformError {
  const failure =
    error.phase === RequestPhase.NOT_SENT
      ? PlatformFailure.UNREACHABLE
      : PlatformFailure.UNCERTAIN;
  return new PlatformError(failure, call, error);
}

function checkStatus(
  call: string,
  reply: HttpReply,
): Effect.Effect<HttpReply, PlatformError> {
  if (COMPLETED_STATUSES.includes(reply.status)) return Effect.succeed(reply);
  const cause = new Error(`status ${reply.status}`);
  // The platform replies 503 only before it changes any row.
  if (reply.status === 503) {
    return Effect.fail(
      new PlatformError(PlatformFailure.UNREACHABLE, call, cause),
    );
  }
  const failure =
    reply.status >= 500 ? PlatformFailure.UNCERTAIN : PlatformFailure.REFUSED;
  return Effect.fail(new PlatformError(failure, call, cause));
}
