import {Effect, Schema} from 'effect';
import {JSONRPCServer} from 'json-rpc-2.0';
import {
  decodeDocument,
  parseBearer,
  toError,
  verifySecret,
} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import {PeerError} from './peer_error.js';
import type {PeerMethod} from './peer_method.js';

const MAX_REQUEST_BYTES = 4 * 1024 * 1024;

/** Serves the JSON-RPC methods that other daemons call. */
export class PeerServer {
  /** Errors of handlers are sent to the calling daemon and not logged here. */
  private readonly rpc = new JSONRPCServer({errorListener: () => undefined});

  /** @param keys peer keys of the fleet; a call may carry any of them */
  constructor(private readonly keys: readonly string[]) {}

  /**
   * Adds the handler of one method. A call whose parameters do not match the
   * schema is answered with an error, without calling the handler.
   */
  addMethod<S extends Schema.ConstraintDecoder<unknown>>(
    method: PeerMethod,
    schema: S,
    handler: (params: S['Type']) => Effect.Effect<unknown>,
  ): void {
    this.rpc.addMethod(method, params => {
      const decoded = decodeDocument(schema, params, method);
      return Effect.runPromise(handler(decoded));
    });
  }

  /**
   * Answers one HTTP request to the JSON-RPC endpoint: status 401 without a
   * valid peer key, 400 if the body cannot be read or processed.
   */
  handle(exchange: HttpExchange): Effect.Effect<void> {
    const key = parseBearer(exchange.getHeader('authorization'));
    if (key === undefined || !verifySecret(key, this.keys)) {
      return Effect.sync(() =>
        exchange.sendJson(401, {error: 'a peer key is needed'}),
      );
    }
    return exchange.readBody(MAX_REQUEST_BYTES).pipe(
      Effect.flatMap(body => this.receive(body.toString())),
      Effect.map(answer => sendAnswer(exchange, answer)),
      Effect.catch(error =>
        Effect.sync(() => exchange.sendJson(400, {error: error.message})),
      ),
    );
  }

  /** Runs the called method; fails if the body cannot be processed. */
  private receive(text: string): Effect.Effect<unknown, PeerError> {
    return Effect.tryPromise({
      try: async () => this.rpc.receiveJSON(text),
      catch: thrown => new PeerError('receive', 'self', toError(thrown)),
    });
  }
}

/** Sends an answer with only the headers that the peer needs. */
function sendAnswer(exchange: HttpExchange, answer: unknown): void {
  const {response} = exchange;
  response.sendDate = false;
  if (!response.hasHeader('connection')) {
    response.setHeader('connection', 'keep-alive');
  }
  exchange.send(200, {}, JSON.stringify(answer));
}
