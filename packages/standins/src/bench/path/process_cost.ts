import {readFileSync} from 'node:fs';

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;

/** CPU time and resident memory of one process, from `/proc/PID/stat`. */
export interface ProcessCost {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the usage since the process started; throws if it has ended. */
export function readProcessCost(pid: number): ProcessCost {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const get = (index: number): number => Number(fields[index] ?? 0);
  return {
    cpuSeconds:
      (get(USER_TICKS_FIELD) + get(SYSTEM_TICKS_FIELD)) / TICKS_PER_SECOND,
    residentBytes: get(RESIDENT_PAGES_FIELD) * PAGE_BYTES,
  };
}
