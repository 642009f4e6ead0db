const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Parses the timestamp of a version 7 UUID, in milliseconds since 1970;
 * undefined when the text is not such a UUID.
 */
export function parseUuidTime(text: string): number | undefined {
  const match = UUID_V7.exec(text);
  if (match === null) return undefined;
  return Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}
