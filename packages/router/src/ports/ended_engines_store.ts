import type {Effect} from 'effect';
import type {EndedEngine} from '@greengagecross/decisions';

/** Recently terminated engines, by service name. */
export type EndedByService = Readonly<Record<string, readonly EndedEngine[]>>;

/** Persists recently terminated engines for daemons that start later. */
export abstract class EngineEndsStore {
  /** Replaces the stored record; a failure is logged, not returned. */
  abstract write(ended: EndedByService): Effect.Effect<void>;

  /** Reads the stored record; a failure is logged and gives an empty record. */
  abstract read(): Effect.Effect<EndedByService>;
}
