import {Schema} from 'effect';

/** Kind of process that runs on a host. */
export enum HostRole {
  /** A router daemon, which accepts the requests of callers. */
  ENTRY = 'entry',
  /** A backend server. */
  BACKEND = 'backend',
}

/** Lifecycle state of a host. */
export enum HostState {
  LIVE = 'live',
  /** Still listed, but about to be removed from the fleet. */
  LEAVING = 'leaving',
}

/** One entry of the platform's host list. */
export const HostSchema = Schema.Struct({
  /** Id of the daemon or backend server that runs on the host. */
  id: Schema.NonEmptyString,
  role: Schema.Enum(HostRole),
  state: Schema.Enum(HostState),
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  /** IP address. */
  host: Schema.NonEmptyString,
  /** Port for callers on an entry host; the backend server's port otherwise. */
  port: Schema.Int,
  /** Port for peers and operators on an entry host; 0 on a backend server. */
  controlPort: Schema.Int,
});

/** Decoded form of {@link HostSchema}. */
export type Host = typeof HostSchema.Type;

/** The platform's list of hosts; it may be out of date. */
export const HostListSchema = Schema.Struct({
  /** Increases with each change of the list. */
  version: Schema.Int,
  hosts: Schema.Array(HostSchema),
});

/** Decoded form of {@link HostListSchema}. */
export type HostList = typeof HostListSchema.Type;
