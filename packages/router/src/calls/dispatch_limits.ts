/** Servers asked for one request where none of them ran it. */
export const MAX_SENDS = 3;
/** Longest silence that is waited for, in milliseconds: any deadline is shorter. */
export const PATIENT_SILENCE_MS = 60_000;
/** When a refused client may come again: servers are back within seconds. */
export const RETRY_AFTER_MS = 300;
