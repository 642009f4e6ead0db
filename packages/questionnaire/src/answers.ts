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

const EngineCountSchema = Schema.Int.check(
  Schema.isBetween({minimum: 1, maximum: 1000}),
);

/** Answers about a further service on the engines of a model service. */
export const OtherWorkSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  whoWaits: Schema.Enum(PriorityClass),
  longestWaitSeconds: WaitSecondsSchema,
});

/** Decoded form of {@link OtherWorkSchema}. */
export type OtherWork = typeof OtherWorkSchema.Type;

/** Answers about a model service, which runs on model engines. */
export const EngineAnswersSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  /**
   * What matters more: returning to a warm engine, where the context of the
   * chat is still cached, or even load.
   */
  mattersMore: Schema.Enum(PlacementPreference),
  /** Whether and how a person waits for the service's responses. */
  whoWaits: Schema.Enum(PriorityClass),
  /**
   * Whether the engines refuse orders that carry an old fencing number. The
   * number rises with each new holder of the lease to send orders.
   */
  checksOrders: Schema.Boolean,
  longestWaitSeconds: WaitSecondsSchema,
  servers: Schema.Array(BackendServerSchema),
  /** Version that the fleet loads; absent if the fleet loads no weights. */
  modelVersion: Schema.optionalKey(Schema.NonEmptyString),
  /** Adapters to load; absent or empty for none. */
  adapters: Schema.optionalKey(Schema.Array(Schema.NonEmptyString)),
  /** Role of the engines; absent or empty for none. */
  role: Schema.optionalKey(Schema.String),
  /**
   * Maximum of this service's engines that accept no requests at once, while
   * they load weights; absent for 1.
   */
  outOfWorkAtOnce: Schema.optionalKey(EngineCountSchema),
  /** Maximum of engines of all services that load weights at once; absent for 2. */
  loadsAtOnce: Schema.optionalKey(EngineCountSchema),
  /** Further services on the same engines; absent for none. */
  otherWork: Schema.optionalKey(Schema.Array(OtherWorkSchema)),
});

/** Decoded form of {@link EngineAnswersSchema}. */
export type EngineAnswers = typeof EngineAnswersSchema.Type;

/** Answers about a plain service, whose servers keep no chats. */
export const PlainAnswersSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  whoWaits: Schema.Enum(PriorityClass),
  /** Path prefixes below which a call must run at most once. */
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
  /** Maximum of the customer's requests that are in flight at once. */
  atMostAtOnce: Schema.Int.check(
    Schema.isBetween({minimum: 1, maximum: 100_000}),
  ),
});

/** Decoded form of {@link CustomerAnswersSchema}. */
export type CustomerAnswers = typeof CustomerAnswersSchema.Type;

/** The answers document: every answer of the questionnaire. */
export const AnswersSchema = Schema.Struct({
  /**
   * Not an answer: base revision, which this document was edited from; 0 or
   * absent for none.
   */
  basedOnRevision: Schema.optionalKey(
    Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
  ),
  deployment: Schema.NonEmptyString,
  /** Model services. */
  engines: Schema.Array(EngineAnswersSchema),
  plainServices: Schema.Array(PlainAnswersSchema),
  customers: Schema.Array(CustomerAnswersSchema),
});

/** Decoded form of {@link AnswersSchema}. */
export type Answers = typeof AnswersSchema.Type;
