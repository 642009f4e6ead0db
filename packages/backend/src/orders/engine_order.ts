import {Schema} from 'effect';

/** Kinds of orders, the commands that change the state of an engine. */
export enum OrderKind {
  /** Stop taking new requests; requests in flight continue. */
  DRAIN = 'drain',
  /** Load a version of the model in place of the current one. */
  LOAD = 'load',
  ADD_ADAPTER = 'add-adapter',
  REMOVE_ADAPTER = 'remove-adapter',
  SET_ROLE = 'set-role',
  /** Take new requests again. */
  RESUME = 'resume',
}

/** One order. Orders are idempotent: a repeat has no further effect. */
export const EngineOrderSchema = Schema.Struct({
  kind: Schema.Enum(OrderKind),
  /** Version, adapter or role; empty if the kind takes no value. */
  value: Schema.String,
});

/** Decoded form of {@link EngineOrderSchema}. */
export type EngineOrder = typeof EngineOrderSchema.Type;

/**
 * An order with the fencing number of the sender's lease. The number rises with
 * each acquisition of the lease, so that an engine can reject orders of a former
 * holder.
 */
export const FencedOrderSchema = Schema.Struct({
  ...EngineOrderSchema.fields,
  fencingNumber: Schema.Int,
});

/** Decoded form of {@link FencedOrderSchema}. */
export type FencedOrder = typeof FencedOrderSchema.Type;

/** An engine's answer to an order. */
export const OrderAnswerSchema = Schema.Struct({
  /** False if the engine has seen a higher fencing number. */
  accepted: Schema.Boolean,
});

/** Decoded form of {@link OrderAnswerSchema}. */
export type OrderAnswer = typeof OrderAnswerSchema.Type;
