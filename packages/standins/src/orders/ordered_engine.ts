import {
  OrderKind,
  type EngineState,
  type FencedOrder,
} from '@greengagecross/backend';

/** Time that a load takes where nothing else is asked for. */
export const DEFAULT_LOAD_MS = 3000;

/** What a stand-in engine does with orders; times come from its caller. */
export class OrderedEngine {
  /** Orders that took effect, in their order. */
  readonly applied: FencedOrder[] = [];
  inFlight = 0;
  private modelVersion: string;
  private loadingVersion = '';
  private loadedAtMs = 0;
  private adapters: readonly string[] = [];
  private role = '';
  private isDraining = false;
  private highestNumber = 0;

  /** @param isFencing whether it refuses an order with an old number. */
  constructor(
    modelVersion: string,
    private readonly isFencing: boolean,
    private readonly loadMs = DEFAULT_LOAD_MS,
  ) {
    this.modelVersion = modelVersion;
  }

  /** Returns its state at a time. */
  getState(nowMs: number): EngineState {
    this.update(nowMs);
    return {
      modelVersion: this.modelVersion,
      loadingVersion: this.loadingVersion,
      adapters: this.adapters,
      role: this.role,
      isDraining: this.isDraining,
      inFlight: this.inFlight,
    };
  }

  /** Applies an order, or refuses it for its old fencing number. */
  apply(order: FencedOrder, nowMs: number): boolean {
    this.update(nowMs);
    if (this.isFencing && order.fencingNumber < this.highestNumber) {
      return false;
    }
    this.highestNumber = Math.max(this.highestNumber, order.fencingNumber);
    this.applied.push(order);
    this.applyKind(order, nowMs);
    return true;
  }

  private applyKind(order: FencedOrder, nowMs: number): void {
    const {value} = order;
    switch (order.kind) {
      case OrderKind.DRAIN:
        this.isDraining = true;
        return;
      case OrderKind.RESUME:
        this.isDraining = false;
        return;
      case OrderKind.LOAD:
        if (value === this.modelVersion) return;
        this.loadingVersion = value;
        this.loadedAtMs = nowMs + this.loadMs;
        return;
      case OrderKind.ADD_ADAPTER:
        this.adapters = [...new Set([...this.adapters, value])];
        return;
      case OrderKind.REMOVE_ADAPTER:
        this.adapters = this.adapters.filter(adapter => adapter !== value);
        return;
      case OrderKind.SET_ROLE:
        this.role = value;
    }
  }

  private update(nowMs: number): void {
    if (this.loadingVersion === '' || nowMs < this.loadedAtMs) return;
    this.modelVersion = this.loadingVersion;
    this.loadingVersion = '';
  }
}
