import {setFlagsFromString} from 'node:v8';

/**
 * Growth of V8's old generation, in percent of what has survived, before it is
 * collected again. By default it grows up to four times.
 */
const GROWTH_PERCENT = 30;

/**
 * Makes V8 collect garbage before it takes much memory from the system.
 *
 * V8 plans its heap for the memory of the machine, which may be far more than
 * the process may take; garbage then grows beyond the limit of the process while
 * little of it is in use.
 */
export function setHeapGrowth(): void {
  setFlagsFromString(`--heap-growing-percent=${GROWTH_PERCENT}`);
}
