/** Why an engine stands where it does among a chat's choices. */
export enum PlacementReason {
  /** The ticket names it, so that it probably holds the context. */
  TICKET_WARM = 'ticket-warm',
  /** The ticket's engine is at its bound; waiting costs less than moving. */
  WAIT_WARM = 'wait-warm',
  /** No usable ticket; one of the chat's rendezvous homes, the least loaded. */
  HOME = 'home',
  /** The ticket's engine is at its bound and moving costs less than waiting. */
  MOVED_BOUND = 'moved-bound',
  /** The ticket's engine is leaving or no longer configured. */
  ENGINE_LEAVING = 'engine-leaving',
  /** Tried when those before it refuse. */
  FALLBACK = 'fallback',
}
