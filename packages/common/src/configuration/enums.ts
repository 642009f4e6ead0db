/** The two kinds of backend server. */
export enum ServiceKind {
  ENGINE = 'engine',
  PLAIN = 'plain',
}

/** Who waits for an answer; decides the order under load. */
export enum PriorityClass {
  /** Someone stands waiting for a short answer. */
  INTERACTIVE = 'interactive',
  /** A long consultation. */
  CONSULTATION = 'consultation',
  /** Nobody waits. */
  BACKGROUND = 'background',
}

/** Whether an engine refuses an order that carries an old fencing number. */
export enum FencingSupport {
  ENFORCED = 'enforced',
  IGNORED = 'ignored',
}

/** Which matters more for returning chats. */
export enum PlacementPreference {
  REUSE = 'reuse',
  EVENNESS = 'evenness',
}
