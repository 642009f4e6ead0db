/** How far the engines of one service are, as the holder of its orders sees. */
export interface OrderReport {
  readonly service: string;
  readonly fencingNumber: number;
  readonly modelVersion: string;
  /** Engines of the service, and those that are as they should be. */
  readonly engines: number;
  readonly asWanted: number;
  /** Engines that are drained or load; ids. */
  readonly outOfWork: readonly string[];
  /** Engines that do not answer; ids. */
  readonly silent: readonly string[];
}
