import type {Effect} from 'effect';
import type {EndedEngine} from '@greengagecross/decisions';

/**
 * Engines that recently stopped accepting requests, by service name. Such an
 * ended engine may still run, and serve copies of cached contexts.
 */
export type EndedEnginesByService = Readonly<
  Record<string, readonly EndedEngine[]>
>;

/** Persists recently ended engines for daemons that start later. */
export abstract class EndedEnginesStore {
  /**
   * Replaces the stored record; a failure is logged.
   *
   * @return whether the record was written
   */
  abstract write(ended: EndedEnginesByService): Effect.Effect<boolean>;

  /** Reads the stored record; a failure is logged and gives an empty record. */
  abstract read(): Effect.Effect<EndedEnginesByService>;
}
