import type {Address} from '@greengagecross/common';

/** One way to a backend server: where to connect, and what is measured. */
export interface PathTarget {
  readonly way: string;
  readonly address: Address;
  /** Path of a short lookup. */
  readonly lookupPath: string;
  /** Process whose cost is measured; absent when there is none between. */
  readonly pid: number | undefined;
  readonly headers: Readonly<Record<string, string>>;
}
