import type {Address} from '@greengagecross/common';

/** Registration of one backend server, as published by the server. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** Maximum number of requests that the server executes concurrently. */
  readonly slots: number;
  /** Whether the server is shutting down and accepts no new requests. */
  readonly isDraining: boolean;
  /** Start time in milliseconds since the epoch; 0 when not reported. */
  readonly startedAtMs: number;
}
