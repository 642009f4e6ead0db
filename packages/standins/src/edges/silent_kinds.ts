import {Effect, Schema} from 'effect';
import {
  HttpEngineClient,
  HttpServiceClient,
  type BackendCall,
} from '@greengagecross/backend';
import {
  makeRandomId,
  PriorityClass,
  type Address,
} from '@greengagecross/common';
import {HttpClient, readBody, type HttpExchange} from '@greengagecross/http';
import {PeerClient, PeerMethod} from '@greengagecross/peers';
import {HttpHostListSource, PlatformClient} from '@greengagecross/platform';

const MAX_BYTES = 1024 * 1024;

/** One kind of other end: how it is called and what it answers. */
export interface SilentKind {
  readonly call: Effect.Effect<unknown, {readonly failure?: string}>;
}

/** Makes the call of a kind, over the client that daemons use for it. */
export function makeSilentCall(
  kind: string,
  address: Address,
  silenceMs: number,
): SilentKind {
  const client = new HttpClient();
  const timeouts = {connectTimeoutMs: silenceMs, silenceMs};
  switch (kind) {
    case 'an engine': {
      const engines = new HttpEngineClient(client, timeouts);
      const opened = Effect.suspend(() =>
        engines.open(makeCall(address), Buffer.from('{}')),
      );
      return {
        call: Effect.flatMap(opened, r => readBody(r.stream, MAX_BYTES, '')),
      };
    }
    case 'a worker': {
      const workers = new HttpServiceClient(client, timeouts);
      const request = {method: 'GET', path: '/', headers: {}};
      return {
        call: Effect.suspend(() =>
          workers.send(makeCall(address), {...request, body: Buffer.alloc(0)}),
        ),
      };
    }
    case 'the platform': {
      const caller = new PlatformClient(client, address, silenceMs);
      return {call: new HttpHostListSource(caller).fetch()};
    }
    case 'another daemon': {
      const peers = new PeerClient(client, 'a-peer-key-of-tests', silenceMs);
      const method = PeerMethod.HEARTBEAT;
      return {
        call: peers
          .send(address, method, {}, Schema.Unknown)
          .pipe(Effect.mapError(() => ({failure: 'uncertain'}))),
      };
    }
    default:
      throw new Error(`no kind ${kind}`);
  }
}

/** Answers any of the kinds after a short while, so that calls overlap. */
export function answerAnyKind(exchange: HttpExchange): Effect.Effect<void> {
  return Effect.gen(function* () {
    const body = yield* exchange
      .readBody(MAX_BYTES)
      .pipe(Effect.orElseSucceed(() => Buffer.alloc(0)));
    yield* Effect.sleep(OVERLAP_MS);
    if (exchange.path === '/rpc') {
      const {id} = JSON.parse(body.toString()) as {id: number};
      exchange.sendJson(200, {jsonrpc: '2.0', id, result: {}});
      return;
    }
    exchange.sendJson(200, {version: 1, hosts: []});
  });
}

const OVERLAP_MS = 100;

function makeCall(address: Address): BackendCall {
  return {
    server: {id: 'server', ...address, availabilityZone: 'centro-a'},
    // As from a daemon, each attempt has an id of its own.
    attemptId: makeRandomId(),
    customer: 'customer',
    chat: 'chat',
    priority: PriorityClass.INTERACTIVE,
    deadlineMs: 10_000,
  };
}
