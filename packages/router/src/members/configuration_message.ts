import {Schema} from 'effect';
import {AddressSchema} from '@greengagecross/common';

/** Maximum number of daemons that a busy peer refers to. */
export const MAX_REFERRALS = 8;

const ReferredPeerSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  /** Address for RPCs. */
  address: AddressSchema,
});

/** A daemon that was sent a configuration and can pass it on. */
export type ReferredPeer = typeof ReferredPeerSchema.Type;

const SendingTurnSchema = Schema.Struct({
  peer: ReferredPeerSchema,
  /** Time until the turn, in milliseconds. */
  afterMs: Schema.Number,
});

/** A turn to be sent a configuration by a daemon. */
export type SendingTurn = typeof SendingTurnSchema.Type;

/** Parameters of the RPC that fetches a newer configuration. */
export const ConfigurationQuerySchema = Schema.Struct({
  /** Version that the asking daemon holds; -1 for none. */
  version: Schema.Number,
  /** The asking daemon, to which others are referred once it was served. */
  id: Schema.NonEmptyString,
  address: AddressSchema,
});

/** Decoded form of {@link ConfigurationQuerySchema}. */
export type ConfigurationQuery = typeof ConfigurationQuerySchema.Type;

const ConfigurationDocumentSchema = Schema.Struct({
  version: Schema.Number,
  /** JSON of the configuration, deflated, in base64. */
  deflated: Schema.String,
});

/** A configuration as daemons send it to each other. */
export type ConfigurationDocument = typeof ConfigurationDocumentSchema.Type;

/** Result of the RPC; without both fields, the peer holds nothing newer. */
export const ConfigurationResultSchema = Schema.Struct({
  document: Schema.optionalKey(ConfigurationDocumentSchema),
  /** The peer holds a newer version and has no bandwidth left to send it now. */
  busy: Schema.optionalKey(
    Schema.Struct({
      version: Schema.Number,
      /** Time after which the peer may be asked again, in milliseconds. */
      retryAfterMs: Schema.Number,
      /** Daemons that the peer has sent this version to. */
      holders: Schema.Array(ReferredPeerSchema).check(
        Schema.isMaxLength(MAX_REFERRALS),
      ),
      /** The daemon that will be free to send this version, and when. */
      turn: Schema.optionalKey(SendingTurnSchema),
    }),
  ),
});

/** Decoded form of {@link ConfigurationResultSchema}. */
export type ConfigurationResult = typeof ConfigurationResultSchema.Type;
