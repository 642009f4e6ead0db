import {Effect} from 'effect';
import {readSteadyMs, toError} from '@greengagecross/common';
import type {ExchangeHandler, HttpExchange} from '@greengagecross/http';
import type {PeerServer} from '@greengagecross/peers';
import {chooseAddresses} from './directory/choose_addresses.js';
import {computeDirectoryTtlMs} from './directory/compute_directory_ttl.js';
import {DaemonState} from './members/heartbeat.js';
import type {MemberService} from './members/member_service.js';
import type {MemberView} from './members/member_view.js';
import type {RouterMetrics} from './metrics/router_metrics.js';
import type {DaemonIdentity} from './model/daemon_identity.js';
import type {CallCodec} from './ports/call_codec.js';

/** Handlers of the readiness, directory, metrics and peer endpoints. */
export class OperationalEndpoints {
  constructor(
    private readonly self: DaemonIdentity,
    private readonly codec: CallCodec,
    private readonly members: MemberService,
    private readonly view: MemberView,
    private readonly peerServer: PeerServer,
    private readonly metrics: RouterMetrics,
    private readonly isFull: () => boolean,
  ) {}

  /** Answers 200 while this daemon accepts new clients, 503 otherwise. */
  readonly answerReady: ExchangeHandler = exchange =>
    Effect.sync(() => {
      const state = this.members.getState();
      const isFull = this.isFull();
      const isReady = state === DaemonState.READY && !isFull;
      exchange.sendJson(isReady ? 200 : 503, {state, isFull});
    });

  /** Answers with the daemons to connect to; 503 when none is ready. */
  readonly answerDirectory: ExchangeHandler = exchange =>
    Effect.sync(() => {
      const zone = this.codec.decodeClientZone(exchange);
      const ready = [...this.view.listReady(readSteadyMs())];
      const isReady = this.members.getState() === DaemonState.READY;
      const daemons = isReady ? [this.self, ...ready] : ready;
      if (daemons.length === 0) {
        exchange.sendJson(503, {error: 'no daemon is ready'});
        return;
      }
      const addresses = chooseAddresses(daemons, zone);
      const ttlMs = computeDirectoryTtlMs(daemons.length);
      exchange.sendJson(200, this.codec.encodeDirectory(addresses, ttlMs));
    });

  /** Answers with all metrics as text; 500 when collecting them fails. */
  readonly answerMetrics: ExchangeHandler = exchange =>
    Effect.tryPromise({
      try: () => this.metrics.format(),
      catch: toError,
    }).pipe(
      Effect.map(text => sendText(exchange, 200, text)),
      Effect.catch(error =>
        Effect.sync(() => sendText(exchange, 500, error.message)),
      ),
    );

  /** Answers RPCs from other daemons. */
  readonly answerPeer: ExchangeHandler = exchange =>
    this.peerServer.handle(exchange);
}

function sendText(exchange: HttpExchange, status: number, text: string): void {
  exchange.send(status, {'content-type': 'text/plain'}, text);
}
