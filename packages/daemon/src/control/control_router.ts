import {Effect} from 'effect';
import {parseBearer, verifySecret} from '@greengagecross/common';
import type {HttpExchange} from '@greengagecross/http';
import {PEER_PATH, type PeerServer} from '@greengagecross/peers';
import type {DaemonMetrics} from '../metrics/daemon_metrics.js';
import type {PlacementExplainer} from '../placement/placement_explainer.js';
import type {StateDump} from './state_dump.js';

const METRICS_TYPE = 'text/plain; version=0.0.4';

/** Daemon functions that the control listener uses. */
export interface DaemonControls {
  /** Starts the graceful stop of this daemon. */
  readonly drain: () => void;
  /** Returns whether the daemon is live and has a configuration. */
  readonly isReady: () => boolean;
  /** Returns whether the daemon's periodic tasks still run. */
  readonly isAlive: () => boolean;
}

/** Answers peers, operators and health checks on the control listener. */
export class ControlRouter {
  /** @param operatorKeys the fleet's operator keys; any of them is valid. */
  constructor(
    private readonly peers: PeerServer,
    private readonly metrics: DaemonMetrics,
    private readonly dump: StateDump,
    private readonly explainer: PlacementExplainer,
    private readonly operatorKeys: readonly string[],
    private readonly controls: DaemonControls,
  ) {}

  /** Answers one request; operator requests need an operator key. */
  handle(exchange: HttpExchange): Effect.Effect<void> {
    switch (exchange.path) {
      case PEER_PATH:
        return this.peers.handle(exchange);
      case '/healthz':
        return Effect.sync(() => this.answerAlive(exchange));
      case '/readyz':
        return Effect.sync(() => this.answerReady(exchange));
      case '/metrics':
        return Effect.map(
          Effect.promise(() => this.metrics.export()),
          text => exchange.send(200, {'content-type': METRICS_TYPE}, text),
        );
      default:
        return this.handleOperator(exchange);
    }
  }

  private answerAlive(exchange: HttpExchange): void {
    const alive = this.controls.isAlive();
    exchange.sendJson(alive ? 200 : 503, {alive});
  }

  private answerReady(exchange: HttpExchange): void {
    const ready = this.controls.isReady();
    exchange.sendJson(ready ? 200 : 503, {ready});
  }

  private handleOperator(exchange: HttpExchange): Effect.Effect<void> {
    const key = parseBearer(exchange.getHeader('authorization')) ?? '';
    if (!verifySecret(key, this.operatorKeys)) {
      return Effect.sync(() =>
        exchange.sendJson(401, {error: 'an operator key is needed'}),
      );
    }
    const call = `${exchange.method} ${exchange.path}`;
    switch (call) {
      case 'GET /v1/dump':
        return Effect.map(this.dump.read(), state =>
          exchange.sendJson(200, state),
        );
      case 'GET /v1/explain':
        return this.answerExplain(exchange);
      case 'POST /v1/drain':
        return Effect.sync(() => {
          this.controls.drain();
          exchange.sendJson(202, {draining: true});
        });
      default:
        return Effect.sync(() =>
          exchange.sendJson(404, {error: 'no such path'}),
        );
    }
  }

  private answerExplain(exchange: HttpExchange): Effect.Effect<void> {
    const {query} = exchange;
    const question = {
      customer: query.get('customer') ?? '',
      chat: query.get('chat') ?? '',
      service: query.get('service') ?? '',
      ticket: query.get('ticket') ?? '',
    };
    return Effect.map(this.explainer.explain(question), explanation => {
      if (explanation !== undefined) exchange.sendJson(200, explanation);
      else exchange.sendJson(404, {error: 'no such customer or service'});
    });
  }
}
