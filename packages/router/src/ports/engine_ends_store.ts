import type {Effect} from 'effect';
import type {EndedEngine} from '@greengagecross/decisions';

/** Engines that ended lately, by their service. */
export type EndedByService = Readonly<Record<string, readonly EndedEngine[]>>;

/** Keeps the ends of engines for daemons that start later. */
export abstract class EngineEndsStore {
  /** Writes them, in place of what was kept before; what fails is logged. */
  abstract write(ended: EndedByService): Effect.Effect<void>;

  /** Reads them; nothing, with a line, when that fails. */
  abstract read(): Effect.Effect<EndedByService>;
}
