import {Clock, Effect, Fiber} from 'effect';

/** Time before the line is first printed, and between its updates. */
const SHOWN_AFTER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Output of a progress line; nothing is written unless `isTTY` is true. */
export interface ProgressOutput {
  readonly isTTY?: boolean;
  write(text: string): unknown;
}

/** A terminal line that shows that a command is still running. */
export class ProgressLine {
  constructor(private readonly output: ProgressOutput = process.stderr) {}

  /** Replaces the line; writes nothing in the first second of the work. */
  print(text: string, elapsedMs: number): void {
    if (elapsedMs < SHOWN_AFTER_MS || this.output.isTTY !== true) return;
    this.output.write(`\r${text}\u001b[K`);
  }

  /** Erases the line. */
  remove(): void {
    if (this.output.isTTY === true) this.output.write('\r\u001b[K');
  }

  /** Runs work, showing a text with the elapsed seconds once a second. */
  track<A, E>(text: string, work: Effect.Effect<A, E>): Effect.Effect<A, E> {
    if (this.output.isTTY !== true) return work;
    return Effect.gen({self: this}, function* () {
      const printing = yield* Effect.forkChild(this.printEachSecond(text));
      const end = Effect.andThen(
        Fiber.interrupt(printing),
        Effect.sync(() => this.remove()),
      );
      return yield* Effect.ensuring(work, end);
    });
  }

  private printEachSecond(text: string): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      for (;;) {
        yield* Effect.sleep(SHOWN_AFTER_MS);
        const elapsedMs = (yield* Clock.currentTimeMillis) - startMs;
        const seconds = Math.floor(elapsedMs / MS_PER_SECOND);
        this.print(`${text} ... ${seconds} s`, elapsedMs);
      }
    });
  }
}
