import {Schema} from 'effect';

/** What runs on a host. */
export enum HostRole {
  ENTRY = 'entry',
  BACKEND = 'backend',
}

/** Whether a host stays. */
export enum HostState {
  LIVE = 'live',
  LEAVING = 'leaving',
}

/** One host of the platform's list. */
export const HostSchema = Schema.Struct({
  /** Id of the daemon or backend server that runs there. */
  id: Schema.NonEmptyString,
  role: Schema.Enum(HostRole),
  state: Schema.Enum(HostState),
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  /** IP number. */
  host: Schema.NonEmptyString,
  /** Port for callers, or of the backend server. */
  port: Schema.Int,
  /** Port for peers and operators; 0 on a backend server. */
  controlPort: Schema.Int,
});

/** Decoded form of {@link HostSchema}. */
export type Host = typeof HostSchema.Type;

/** The platform's list of hosts; it lags. */
export const HostListSchema = Schema.Struct({
  /** Rises with each change of the list. */
  version: Schema.Int,
  hosts: Schema.Array(HostSchema),
});

/** Decoded form of {@link HostListSchema}. */
export type HostList = typeof HostListSchema.Type;
