import {Schema} from 'effect';
import {
  BackendServerSchema,
  KeyHashSchema,
  PlacementPreference,
  PriorityClass,
} from '@greengagecross/common';

const WaitSecondsSchema = Schema.Int.check(
  Schema.isBetween({minimum: 1, maximum: 3600}),
);

const AtOnceSchema = Schema.Int.check(
  Schema.isBetween({minimum: 1, maximum: 1000}),
);

/** Answers about one more kind of work that runs on the same engines. */
export const OtherWorkSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  whoWaits: Schema.Enum(PriorityClass),
  longestWaitSeconds: WaitSecondsSchema,
});

/** Decoded form of {@link OtherWorkSchema}. */
export type OtherWork = typeof OtherWorkSchema.Type;

/** Answers about a service that runs on model engines. */
export const EngineAnswersSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  /** What matters more: returning to a warm engine, or even load. */
  mattersMore: Schema.Enum(PlacementPreference),
  /** Who waits for its answers. */
  whoWaits: Schema.Enum(PriorityClass),
  /** Whether its engines check who gives them an order. */
  checksOrders: Schema.Boolean,
  longestWaitSeconds: WaitSecondsSchema,
  servers: Schema.Array(BackendServerSchema),
  /** Version that the fleet loads; absent where it does not manage weights. */
  modelVersion: Schema.optionalKey(Schema.NonEmptyString),
  adapters: Schema.optionalKey(Schema.Array(Schema.NonEmptyString)),
  role: Schema.optionalKey(Schema.String),
  /** Engines of this service that may be out of work at once. */
  outOfWorkAtOnce: Schema.optionalKey(AtOnceSchema),
  /** Engines of all services that may load weights at once. */
  loadsAtOnce: Schema.optionalKey(AtOnceSchema),
  /** Further kinds of work on these engines, each a name that callers use. */
  otherWork: Schema.optionalKey(Schema.Array(OtherWorkSchema)),
});

/** Decoded form of {@link EngineAnswersSchema}. */
export type EngineAnswers = typeof EngineAnswersSchema.Type;

/** Answers about a plain service. */
export const PlainAnswersSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  whoWaits: Schema.Enum(PriorityClass),
  /** Path prefixes whose calls may not be repeated. */
  mayNotBeRepeated: Schema.Array(Schema.NonEmptyString),
  longestWaitSeconds: WaitSecondsSchema,
  servers: Schema.Array(BackendServerSchema),
});

/** Decoded form of {@link PlainAnswersSchema}. */
export type PlainAnswers = typeof PlainAnswersSchema.Type;

/** Answers about a customer. */
export const CustomerAnswersSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  keyHashes: Schema.Array(KeyHashSchema),
  services: Schema.Array(Schema.NonEmptyString),
  /** Requests that it may have in flight at once. */
  atMostAtOnce: Schema.Int.check(
    Schema.isBetween({minimum: 1, maximum: 100_000}),
  ),
});

/** Decoded form of {@link CustomerAnswersSchema}. */
export type CustomerAnswers = typeof CustomerAnswersSchema.Type;

/** Every answer of the questionnaire. */
export const AnswersSchema = Schema.Struct({
  /** Revision whose answers these were made from; no answer itself. */
  basedOnRevision: Schema.optionalKey(
    Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
  ),
  deployment: Schema.NonEmptyString,
  engines: Schema.Array(EngineAnswersSchema),
  plainServices: Schema.Array(PlainAnswersSchema),
  customers: Schema.Array(CustomerAnswersSchema),
});

/** Decoded form of {@link AnswersSchema}. */
export type Answers = typeof AnswersSchema.Type;
