import {Effect, Schema} from 'effect';
import {decodeJson, toError, type BackendServer} from '@greengagecross/common';
import type {HttpClient} from '@greengagecross/http';
import {BackendError} from '../backend_error.js';
import {BackendFailure} from '../backend_failure.js';
import type {BackendTimeouts} from '../http_engine_client.js';
import {toBackendError} from '../to_backend_error.js';
import {EngineControl} from './engine_control.js';
import {
  OrderAnswerSchema,
  type FencedOrder,
  type OrderAnswer,
} from './engine_order.js';
import {EngineStateSchema, type EngineState} from './engine_state.js';

/** Client of an engine's control interface over HTTP. */
export class HttpEngineControl extends EngineControl {
  constructor(
    private readonly client: HttpClient,
    private readonly timeouts: BackendTimeouts,
  ) {
    super();
  }

  override fetchState(
    server: BackendServer,
  ): Effect.Effect<EngineState, BackendError> {
    return this.request(server, 'GET', '/v1/state', '', EngineStateSchema);
  }

  override send(
    server: BackendServer,
    order: FencedOrder,
  ): Effect.Effect<OrderAnswer, BackendError> {
    const body = JSON.stringify(order);
    return this.request(server, 'POST', '/v1/orders', body, OrderAnswerSchema);
  }

  private request<S extends Schema.ConstraintDecoder<unknown>>(
    server: BackendServer,
    method: string,
    path: string,
    body: string,
    schema: S,
  ): Effect.Effect<S['Type'], BackendError> {
    const {id, host, port} = server;
    return this.client
      .send({address: {host, port}, method, path, body, ...this.timeouts})
      .pipe(
        Effect.mapError(error => toBackendError(id, error)),
        Effect.flatMap(reply =>
          Effect.try({
            try: () => decodeJson(schema, reply.body.toString(), path),
            catch: thrown =>
              new BackendError(
                BackendFailure.INVALID_REPLY,
                id,
                toError(thrown),
              ),
          }),
        ),
      );
  }
}
