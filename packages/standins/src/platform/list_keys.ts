/** Lists keys of a prefix after a key, in their order. */
export function listKeys(
  keys: Iterable<string>,
  prefix: string,
  after: string,
  limit: number,
): string[] {
  return [...keys]
    .filter(key => key.startsWith(prefix) && key > after)
    .sort()
    .slice(0, limit);
}
