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

const MAX_PEER_BYTES = 4 * 1024 * 1024;

/** Answers the methods that other daemons call. */
export class PeerServer {
  private readonly rpc = new JSONRPCServer({errorListener: () => undefined});

  /** @param keys the fleet's peer keys; each is valid. */
  constructor(private readonly keys: readonly string[]) {}

  /** Adds the handler of one method; wrong parameters never reach it. */
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

  /** Answers one exchange of the JSON-RPC endpoint. */
  handle(exchange: HttpExchange): Effect.Effect<void> {
    const key = parseBearer(exchange.getHeader('authorization'));
    if (key === undefined || !verifySecret(key, this.keys)) {
      return Effect.sync(() =>
        exchange.sendJson(401, {error: 'a peer key is needed'}),
      );
    }
    return exchange.readBody(MAX_PEER_BYTES).pipe(
      Effect.flatMap(body => this.receive(body.toString())),
      Effect.map(answer => sendAnswer(exchange, answer)),
      Effect.catch(error =>
        Effect.sync(() => exchange.sendJson(400, {error: error.message})),
      ),
    );
  }

  private receive(text: string): Effect.Effect<unknown, PeerError> {
    return Effect.tryPromise({
      try: async () => this.rpc.receiveJSON(text),
      catch: thrown => new PeerError('receive', 'self', toError(thrown)),
    });
  }
}

/** Sends an answer with no more headers than the peer needs. */
function sendAnswer(exchange: HttpExchange, answer: unknown): void {
  const {response} = exchange;
  response.sendDate = false;
  if (!response.hasHeader('connection')) {
    response.setHeader('connection', 'keep-alive');
  }
  exchange.send(200, {}, JSON.stringify(answer));
}
