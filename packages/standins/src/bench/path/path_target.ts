import type {Address} from '@greengagecross/common';

/** A route to a backend server: where to connect, and what is measured. */
export interface PathTarget {
  readonly route: string;
  readonly address: Address;
  /** Path of a short lookup. */
  readonly lookupPath: string;
  /** Proxy process whose cost is measured; undefined on a direct connection. */
  readonly pid: number | undefined;
  readonly headers: Readonly<Record<string, string>>;
}
