import {Schema} from 'effect';

/** What an engine can be told to do. */
export enum OrderKind {
  /** Takes no new work; what is in flight goes on. */
  DRAIN = 'drain',
  /** Loads a version of its model in place of the one that it has. */
  LOAD = 'load',
  ADD_ADAPTER = 'add-adapter',
  REMOVE_ADAPTER = 'remove-adapter',
  SET_ROLE = 'set-role',
  /** Takes new work again. */
  RESUME = 'resume',
}

/** One order; sent again it has no further effect. */
export const EngineOrderSchema = Schema.Struct({
  kind: Schema.Enum(OrderKind),
  /** Version, adapter or role; empty where the kind needs none. */
  value: Schema.String,
});

/** Decoded form of {@link EngineOrderSchema}. */
export type EngineOrder = typeof EngineOrderSchema.Type;

/** An order with the number that rises with each holder of the lease. */
export const FencedOrderSchema = Schema.Struct({
  ...EngineOrderSchema.fields,
  fencingNumber: Schema.Int,
});

/** Decoded form of {@link FencedOrderSchema}. */
export type FencedOrder = typeof FencedOrderSchema.Type;

/** An engine's answer to an order. */
export const OrderAnswerSchema = Schema.Struct({
  /** False when the engine knows a higher fencing number. */
  accepted: Schema.Boolean,
});

/** Decoded form of {@link OrderAnswerSchema}. */
export type OrderAnswer = typeof OrderAnswerSchema.Type;
