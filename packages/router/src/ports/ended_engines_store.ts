import type {Effect} from 'effect';
import type {EndedEngine} from '@greengagecross/decisions';

/** Recently terminated engines, by service name. */
export type EndedEnginesByService = Readonly<
  Record<string, readonly EndedEngine[]>
>;

/** Persists recently terminated engines for daemons that start later. */
export abstract class EndedEnginesStore {
  /** Replaces the stored record; a failure is logged, not returned. */
  abstract write(ended: EndedEnginesByService): Effect.Effect<void>;

  /** Reads the stored record; a failure is logged and gives an empty record. */
  abstract read(): Effect.Effect<EndedEnginesByService>;
}
