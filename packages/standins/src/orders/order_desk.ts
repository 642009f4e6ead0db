import {Effect, Latch} from 'effect';
import {OrderKind, type FencedOrder} from '@greengagecross/backend';
import type {HttpExchange} from '@greengagecross/http';
import type {EngineProfile} from '../backends/engine_profile.js';
import {OrderedEngine} from './ordered_engine.js';

/** An order as a stand-in engine met it, in the order of their effects. */
export interface MetOrder extends FencedOrder {
  readonly accepted: boolean;
  /** Whether it was kept under way before it arrived. */
  readonly wasHeld: boolean;
  readonly atMs: number;
  /** Requests in flight when it took effect. */
  readonly inFlight: number;
}

/** Which orders are kept under way until they are released. */
enum Holding {
  NONE = 'none',
  NEXT = 'next',
  ALL = 'all',
}

/** What the orders do to the rest of the engine. */
export interface OrderEffects {
  readonly countInFlight: () => number;
  /** Cuts what is in flight, as new weights do. */
  readonly cut: () => void;
}

/** The part of a stand-in engine that takes orders over HTTP. */
export class OrderDesk {
  private readonly engine: OrderedEngine;
  private readonly met: MetOrder[] = [];
  private held = 0;
  private holding = Holding.NONE;
  private readonly released = Latch.makeUnsafe(false);

  constructor(
    profile: EngineProfile,
    private readonly effects: OrderEffects,
  ) {
    this.engine = new OrderedEngine(
      profile.modelVersion,
      profile.checksFencing,
      profile.loadMs,
    );
  }

  /** Returns whether an order said to take no new work. */
  isDraining(): boolean {
    return this.engine.getState(Date.now()).isDraining;
  }

  /** Answers one request; undefined when its path is none of these. */
  handle(
    exchange: HttpExchange,
    text: string,
  ): Effect.Effect<void> | undefined {
    switch (exchange.path) {
      case '/v1/orders':
        return this.answerOrder(exchange, JSON.parse(text) as FencedOrder);
      case '/v1/state':
        return Effect.sync(() => exchange.sendJson(200, this.makeState()));
      case '/observe/orders':
        return Effect.sync(() =>
          exchange.sendJson(200, {met: this.met, held: this.held}),
        );
      case '/observe/orders/hold':
        return Effect.sync(() => {
          this.holding =
            exchange.query.get('which') === 'all' ? Holding.ALL : Holding.NEXT;
          exchange.sendJson(200, {});
        });
      case '/observe/orders/release':
        return Effect.sync(() => {
          this.holding = Holding.NONE;
          this.released.openUnsafe();
          exchange.sendJson(200, {});
        });
      default:
        return undefined;
    }
  }

  private makeState() {
    const inFlight = this.effects.countInFlight();
    return {...this.engine.getState(Date.now()), inFlight};
  }

  private answerOrder(
    exchange: HttpExchange,
    order: FencedOrder,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const wasHeld = this.holding !== Holding.NONE;
      if (this.holding === Holding.NEXT) this.holding = Holding.NONE;
      if (!wasHeld) {
        const accepted = this.apply(order, false);
        return Effect.sync(() => exchange.sendJson(200, {accepted}));
      }
      this.held += 1;
      // It arrives also when its sender has given up meanwhile.
      return this.released.await.pipe(
        Effect.andThen(Effect.sync(() => this.apply(order, true))),
        Effect.forkDetach,
        Effect.andThen(Effect.never),
      );
    });
  }

  private apply(order: FencedOrder, wasHeld: boolean): boolean {
    const {modelVersion} = this.engine.getState(Date.now());
    const inFlight = this.effects.countInFlight();
    const accepted = this.engine.apply(order, Date.now());
    const atMs = Date.now();
    this.met.push({...order, accepted, wasHeld, atMs, inFlight});
    const isLoad = order.kind === OrderKind.LOAD;
    if (accepted && isLoad && order.value !== modelVersion) this.effects.cut();
    return accepted;
  }
}
