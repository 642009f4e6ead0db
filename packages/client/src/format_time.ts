/** Formats a time in ms since the epoch as `2026-03-01 12:30:05 UTC`. */
export function formatTime(atMs: number): string {
  return `${new Date(atMs).toISOString().slice(0, 19).replace('T', ' ')} UTC`;
}
