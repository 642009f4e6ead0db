const SHOWN_AFTER_MS = 1000;

/** Shows that a command is still at work, on a terminal and after a second. */
export function printProgress(text: string, elapsedMs: number): void {
  if (elapsedMs < SHOWN_AFTER_MS || !process.stderr.isTTY) return;
  process.stderr.write(`\r${text}\u001b[K`);
}

/** Removes a progress line. */
export function removeProgress(): void {
  if (process.stderr.isTTY) process.stderr.write('\r\u001b[K');
}
