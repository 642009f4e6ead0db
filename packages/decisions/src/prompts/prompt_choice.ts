/** Why an engine was chosen for a prompt. */
export enum PromptChoiceReason {
  /**
   * The first engine in the subject's order: the preferred engine, unless that
   * engine is avoided or was tried.
   */
  PREFERRED = 'home',
  /** Another engine that probably still caches the subject. */
  WARM = 'warm',
  /**
   * The first engine in the subject's order below the load bound; those before
   * are at the bound.
   */
  OVERFLOW = 'overflow',
  /** The prompt has no shared parts, or every engine is at the load bound. */
  LEAST_LOADED = 'least-loaded',
}

/** The engine chosen for a prompt, with the inputs of the decision. */
export interface PromptChoice {
  readonly engineId: string;
  /**
   * An engine that probably caches the subject while the chosen engine does
   * not, so that the cached context may be copied. It may have stopped
   * meanwhile. Absent if there is no such engine or a copy is not worth it.
   */
  readonly cacheSourceId?: string;
  readonly reason: PromptChoiceReason;
  /**
   * Index in the subject's order of the engines that may be chosen; 0 is the
   * preferred engine, unless that engine is avoided or was tried. -1 for an
   * engine chosen by load alone.
   */
  readonly rank: number;
  readonly inFlight: number;
  /** Load bound in requests; engines with fewer in flight accept prompts. */
  readonly bound: number;
}
