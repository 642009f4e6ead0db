import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream} from 'node:fs';

const running = new Set<ChildProcess>();

// A runner that fails must leave no process behind.
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** One process that a runner started, with its log in a file. */
export class Child {
  private readonly process: ChildProcess;
  private readonly ended: Promise<number | null>;

  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    logFile: string,
  ) {
    this.process = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(this.process);
    const log = createWriteStream(logFile, {flags: 'a'});
    this.process.stdout?.pipe(log, {end: false});
    this.process.stderr?.pipe(log, {end: false});
    this.process.once('exit', () => running.delete(this.process));
    this.ended = new Promise(resolve => {
      // At 'exit' the last lines may still be in the pipes.
      this.process.once('close', code => log.end(() => resolve(code)));
    });
  }

  /** Sends a signal to the process by its id. */
  send(signal: NodeJS.Signals): void {
    if (this.isRunning()) this.process.kill(signal);
  }

  /** Returns the process's id. */
  getPid(): number {
    return this.process.pid ?? 0;
  }

  /** Returns whether the process has not ended. */
  isRunning(): boolean {
    return this.process.exitCode === null && this.process.signalCode === null;
  }

  /**
   * Waits for the end and for the complete log; returns the exit code, null
   * after a signal.
   */
  waitEnd(): Promise<number | null> {
    return this.ended;
  }
}
