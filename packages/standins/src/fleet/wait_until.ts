import {setTimeout as sleep} from 'node:timers/promises';

const CHECK_MS = 25;

/** Waits until a condition holds; throws after the limit. */
export async function waitUntil(
  what: string,
  limitMs: number,
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!(await check())) {
    if (performance.now() > endMs) {
      throw new Error(`${what}: not within ${limitMs} ms`);
    }
    await sleep(CHECK_MS);
  }
}
