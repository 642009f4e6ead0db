/** Kind of service, and thus of its backend servers. */
export enum ServiceKind {
  ENGINE = 'engine',
  PLAIN = 'plain',
}

/** Priority of a request; decides the order of requests under load. */
export enum PriorityClass {
  /** A person waits for a short answer. */
  INTERACTIVE = 'interactive',
  /** A person waits for a long answer, as in a consultation. */
  CONSULTATION = 'consultation',
  /** No person waits for the answer. */
  BACKGROUND = 'background',
}

/**
 * Whether an engine refuses an order with an outdated fencing number. The
 * fencing number rises with each acquisition of the order lease, so that orders
 * of a former holder can be refused.
 */
export enum FencingSupport {
  ENFORCED = 'enforced',
  IGNORED = 'ignored',
}

/** Whether returning chats prefer reuse of their context or even load. */
export enum PlacementPreference {
  REUSE = 'reuse',
  EVENNESS = 'evenness',
}
