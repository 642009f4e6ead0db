import type {Address} from '@greengagecross/common';

/** One backend server, as it registered itself. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Its start, in milliseconds since the epoch; 0 when it is not told. */
  readonly startedAtMs: number;
}
