/** The format in which an operator enters an answer. */
export enum AnswerKind {
  TEXT = 'text',
  NUMBER = 'number',
  YES_NO = 'yes or no',
  CHOICE = 'choice',
  /** Items separated by commas. */
  LIST = 'list',
  /** Servers, each as `ID HOST:PORT ZONE`, separated by commas. */
  SERVERS = 'servers',
  /** Keys separated by commas; only their salted hashes are stored. */
  SECRET = 'secret',
}

/** One option of a question of the kind {@link AnswerKind.CHOICE}. */
export interface Choice {
  readonly value: string;
  /** What the value means, in plain words. */
  readonly text: string;
}

/** One question, worded for operators. */
export interface Question {
  /** Property of the answers document that holds the answer. */
  readonly field: string;
  readonly kind: AnswerKind;
  readonly text: string;
  /** One sentence on the effect of the answer. */
  readonly explanation: string;
  readonly example: string;
  /**
   * Text that is parsed in place of an empty line; may be empty. Absent if the
   * operator must enter an answer.
   */
  readonly fallback?: string;
  /** Present only for the kind {@link AnswerKind.CHOICE}. */
  readonly choices?: readonly Choice[];
}
