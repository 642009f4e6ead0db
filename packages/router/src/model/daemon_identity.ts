import type {Address} from '@greengagecross/common';

/** Identity of a daemon, with one address for each kind of traffic. */
export interface DaemonIdentity {
  readonly id: string;
  readonly availabilityZone: string;
  /** Address for client connections. */
  readonly callers: Address;
  /** Address for RPCs from other daemons. */
  readonly peers: Address;
  /** UDP address for heartbeats. */
  readonly heartbeats: Address;
}
