import {Effect} from 'effect';
import {formatAddress, toError, type Address} from '@greengagecross/common';
import type {HttpClient, HttpReply} from '@greengagecross/http';
import {ClientError} from './client_error.js';
import {ExitCode} from './exit_code.js';

const DAEMON_TIMEOUT_MS = 2000;

/** Calls the control listeners of daemons with the operator key. */
export class DaemonCaller {
  constructor(
    private readonly client: HttpClient,
    private readonly key: string,
  ) {}

  /**
   * Sends one call and returns its parsed JSON reply.
   *
   * Fails with a ClientError when no connection is made within 2 s, when no
   * byte arrives for 2 s, or when the daemon replies with a status of 300 or
   * more or with a body that is not JSON.
   */
  send(
    address: Address,
    method: string,
    path: string,
  ): Effect.Effect<unknown, ClientError> {
    const target = formatAddress(address);
    const makeError = (message: string, cause?: Error): ClientError =>
      new ClientError(
        ExitCode.FAILED,
        `the daemon at ${target} ${message}`,
        'Check that the daemon runs and that your operator key is one of the operator keys that it accepts.',
        cause,
      );
    return this.client
      .send({
        address,
        method,
        path,
        headers: {authorization: `Bearer ${this.key}`},
        connectTimeoutMs: DAEMON_TIMEOUT_MS,
        silenceMs: DAEMON_TIMEOUT_MS,
      })
      .pipe(
        Effect.mapError(error => makeError('does not answer', error)),
        Effect.flatMap(reply =>
          reply.status < 300
            ? Effect.try({
                try: () => JSON.parse(reply.body.toString()) as unknown,
                catch: thrown =>
                  makeError('sent a reply that is not JSON', toError(thrown)),
              })
            : Effect.fail(makeReplyError(target, reply)),
        ),
      );
  }
}

/** Makes the error for an unsuccessful reply, with advice for its status. */
function makeReplyError(target: string, reply: HttpReply): ClientError {
  const errorField = /"error":"([^"]*)"/.exec(reply.body.toString())?.[1];
  const reason = errorField ?? `status ${reply.status}`;
  const message = `the daemon at ${target} refuses: ${reason}`;
  if (reply.status === 404) {
    const advice =
      'Check the customer and the service: greengagecross questionnaire --current.';
    return new ClientError(ExitCode.BAD_INPUT, message, advice);
  }
  const advice =
    reply.status === 401
      ? 'Check that your operator key is one of the operator keys that this daemon accepts.'
      : 'Run the command again; if it keeps failing, see docs/operations/README.md.';
  return new ClientError(ExitCode.FAILED, message, advice);
}
