import {createInterface, type Interface} from 'node:readline/promises';
import {Prompter} from '@greengagecross/questionnaire';

/** Asks for lines on the terminal, or reads them from another stream. */
export class TerminalPrompter extends Prompter {
  private readonly lines: Interface;
  private readonly buffered: string[] = [];
  private readonly pendingPrompts: {
    readonly resolve: (line: string) => void;
    readonly reject: (error: Error) => void;
  }[] = [];
  private isClosed = false;

  constructor(
    input: NodeJS.ReadableStream = process.stdin,
    private readonly output: NodeJS.WritableStream = process.stderr,
  ) {
    super();
    this.lines = createInterface({input, output});
    // Lines from a pipe may arrive before they are asked for.
    this.lines.on('line', line => this.receive(line));
    this.lines.on('close', () => this.finish());
  }

  override print(lines: readonly string[]): void {
    this.output.write(`${lines.join('\n')}\n`);
  }

  override ask(prompt: string): Promise<string> {
    this.output.write(prompt);
    const line = this.buffered.shift();
    if (line !== undefined) return Promise.resolve(line);
    if (this.isClosed) return Promise.reject(makeInputEndError());
    return new Promise((resolve, reject) =>
      this.pendingPrompts.push({resolve, reject}),
    );
  }

  /** Closes the input; unanswered prompts are rejected. */
  close(): void {
    this.lines.close();
  }

  private receive(line: string): void {
    const next = this.pendingPrompts.shift();
    if (next === undefined) this.buffered.push(line);
    else next.resolve(line);
  }

  private finish(): void {
    this.isClosed = true;
    for (const {reject} of this.pendingPrompts) reject(makeInputEndError());
  }
}

function makeInputEndError(): Error {
  return new Error('the input ended before every question was answered');
}
