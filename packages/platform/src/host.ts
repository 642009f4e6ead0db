import {Schema} from 'effect';

const MAX_PORT = 65_535;

/** Kind of the process of the fleet that runs on a host. */
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

/**
 * One item of the platform's host list: a process of the fleet with the host on
 * which it runs.
 */
export const HostSchema = Schema.Struct({
  /** Id of the daemon or backend server that runs on the host. */
  id: Schema.NonEmptyString,
  role: Schema.Enum(HostRole),
  state: Schema.Enum(HostState),
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  /** IP address. */
  host: Schema.NonEmptyString,
  /** The daemon's port for callers, or the backend server's port. */
  port: Schema.Int.check(Schema.isBetween({minimum: 1, maximum: MAX_PORT})),
  /** The daemon's port for peers and operators; 0 for a backend server. */
  controlPort: Schema.Int.check(
    Schema.isBetween({minimum: 0, maximum: MAX_PORT}),
  ),
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
