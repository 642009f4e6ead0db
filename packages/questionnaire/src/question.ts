/** How an answer is written in the terminal. */
export enum AnswerKind {
  TEXT = 'text',
  NUMBER = 'number',
  YES_NO = 'yes or no',
  CHOICE = 'choice',
  /** Words separated by commas. */
  LIST = 'list',
  /** `ID HOST:PORT ZONE`, separated by commas. */
  SERVERS = 'servers',
  /** A key, of which only the salted hash is kept. */
  SECRET = 'secret',
}

/** One thing to choose, in the words of the questionnaire. */
export interface Choice {
  readonly value: string;
  readonly text: string;
}

/** One question in plain terms. */
export interface Question {
  /** Property of the answers that it fills. */
  readonly field: string;
  readonly kind: AnswerKind;
  readonly text: string;
  /** One sentence on what the answer does. */
  readonly explanation: string;
  readonly example: string;
  /** Answer taken for an empty line, written as the operator would. */
  readonly fallback?: string;
  readonly choices?: readonly Choice[];
}
