import type {PartSet} from './part.js';

/** A configuration that is offered to become the next revision. */
export interface ConfigurationOffer {
  /** Revision on which the change is based; 0 for the first configuration. */
  readonly baseRevision: number;
  readonly configuration: PartSet;
  /** Questionnaire answers from which the configuration was generated. */
  readonly answers: PartSet;
  /**
   * Digests of the parts that the base revision has in the store.
   *
   * A new segment is started if the set is empty or if packs are due.
   */
  readonly storedDigests: ReadonlySet<string>;
  /** Ids of the changed questionnaire answers. */
  readonly changes: readonly string[];
  /** Id of the accept operation; a retry has the same id. */
  readonly operationId: string;
  readonly acceptedBy: string;
  readonly acceptedAtMs: number;
  readonly reason: string;
}
