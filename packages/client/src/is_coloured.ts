/** Returns whether to colour output: only on a terminal without NO_COLOR. */
export function isColoured(
  environment: Readonly<Record<string, string | undefined>>,
  output: {readonly isTTY?: boolean},
): boolean {
  return output.isTTY === true && (environment['NO_COLOR'] ?? '') === '';
}
