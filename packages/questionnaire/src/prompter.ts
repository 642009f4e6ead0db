/** Asks an operator; the terminal, or a script in tests. */
export abstract class Prompter {
  /** Shows lines. */
  abstract print(lines: readonly string[]): void;

  /** Asks for one line. */
  abstract ask(prompt: string): Promise<string>;
}
