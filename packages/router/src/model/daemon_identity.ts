import type {Address} from '@greengagecross/common';

/** Identity and addresses of a daemon. */
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
