import type {PartSet} from './part.js';

/** A configuration offered for acceptance. */
export interface ConfigurationOffer {
  /** Revision that the change was based on; 0 for the first. */
  readonly baseRevision: number;
  readonly configuration: PartSet;
  readonly answers: PartSet;
  /** Digests of parts that the base revision has in the store. */
  readonly storedParts: ReadonlySet<string>;
  /** Ids of the changed answers. */
  readonly changes: readonly string[];
  readonly operationId: string;
  readonly acceptedBy: string;
  readonly acceptedAtMs: number;
  readonly reason: string;
}
