/** Why an engine has its position in the list of choices for a chat. */
export enum PlacementReason {
  /** The ticket names the engine, which probably has the context cached. */
  TICKET_WARM = 'ticket-warm',
  /** The ticket's engine is at its bound, but waiting costs less than moving. */
  WAIT_WARM = 'wait-warm',
  /**
   * No usable ticket: the least loaded of the chat's preferred engines, which
   * rendezvous hashing selects.
   */
  PREFERRED = 'home',
  /** The ticket's engine is at its bound and moving costs less than waiting. */
  MOVED_BOUND = 'moved-bound',
  /** The ticket's engine is leaving or no longer configured. */
  ENGINE_LEAVING = 'engine-leaving',
  /** Tried if the engines before it refuse. */
  FALLBACK = 'fallback',
}
