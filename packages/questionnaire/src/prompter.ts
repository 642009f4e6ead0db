/** Prints to an operator and reads lines; a terminal, or a script in tests. */
export abstract class Prompter {
  /** Prints the lines to the operator. */
  abstract print(lines: readonly string[]): void;

  /** Shows the prompt and reads one line, without its line break. */
  abstract ask(prompt: string): Promise<string>;
}
