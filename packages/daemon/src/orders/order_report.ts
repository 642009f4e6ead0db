/** States of one service's engines, as last observed by the lease holder. */
export interface OrderReport {
  readonly service: string;
  readonly fencingNumber: number;
  readonly modelVersion: string;
  /** Number of engines of the service. */
  readonly engines: number;
  /** Engines last observed in the desired state, including silent ones. */
  readonly asWanted: number;
  /** Ids of engines that are draining or loading and not silent. */
  readonly outOfWork: readonly string[];
  /** Ids of engines that do not answer. */
  readonly silent: readonly string[];
}
