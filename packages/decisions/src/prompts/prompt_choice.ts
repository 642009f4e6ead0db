/** Why an engine was chosen for a prompt. */
export enum PromptChoiceReason {
  /** The engine that the prompt's subject hashes to. */
  HOME = 'home',
  /** Another engine that has read the subject already. */
  WARM = 'warm',
  /** The home is over the load bound; this one is next in hash order. */
  OVERFLOW = 'overflow',
  /** The prompt shares nothing, or every engine is over the bound. */
  LEAST_LOADED = 'least-loaded',
}

/** The engine chosen for a prompt, with the inputs that decided it. */
export interface PromptChoice {
  readonly engineId: string;
  /**
   * An engine that has probably read the subject where the chosen one has not,
   * and whose memory of it may be copied; it may have stopped since.
   */
  readonly memorySourceId?: string;
  readonly reason: PromptChoiceReason;
  /** Place in the subject's hash order; 0 is its home. */
  readonly rank: number;
  readonly inFlight: number;
  /** Largest load at which an engine still took prompts. */
  readonly bound: number;
}
