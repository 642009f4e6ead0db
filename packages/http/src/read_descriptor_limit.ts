import {readFileSync} from 'node:fs';

const LIMITS_PATH = '/proc/self/limits';
const LIMIT_PATTERN = /^Max open files\s+(\d+)/m;

/**
 * Reads how many file descriptors this process may open; undefined if the
 * system does not say so or sets no limit.
 */
export function readDescriptorLimit(): number | undefined {
  try {
    const match = LIMIT_PATTERN.exec(readFileSync(LIMITS_PATH, 'utf8'));
    return match === null ? undefined : Number(match[1]);
  } catch {
    return undefined;
  }
}
