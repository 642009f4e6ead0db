import type {Address} from '@greengagecross/common';

/** Who a daemon is and where it is reached. */
export interface DaemonIdentity {
  readonly id: string;
  readonly availabilityZone: string;
  /** Where clients connect. */
  readonly callers: Address;
  /** Where other daemons call it. */
  readonly peers: Address;
  /** Where it takes heartbeats, as datagrams. */
  readonly heartbeats: Address;
}
