import {findRendezvousHome} from '@greengagecross/common';

/** Finds the daemon that counts an engine's requests. */
export function findEngineOwner(
  engine: string,
  liveDaemons: readonly string[],
): string | undefined {
  return findRendezvousHome(`owner\u0000${engine}`, liveDaemons);
}
