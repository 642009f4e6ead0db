import type {ColdReport} from '@greengagecross/decisions';
import type {BackendServer} from '../model/backend_server.js';

/**
 * Smallest extension of a cold time that counts as a change of the list. Less is
 * due to the time that an entry takes from its server to this daemon.
 */
const MIN_COLD_EXTENSION_MS = 250;

/** Returns whether two entries of a server are the same for peers. */
export function isSameServer(a: BackendServer, b: BackendServer): boolean {
  return (
    a.service === b.service &&
    a.address.host === b.address.host &&
    a.address.port === b.address.port &&
    a.availabilityZone === b.availabilityZone &&
    a.slots === b.slots &&
    a.isDraining === b.isDraining &&
    a.startedAtMs === b.startedAtMs &&
    !isColdExtended(a.coldReport, b.coldReport)
  );
}

/** Returns whether an entry must not replace the current one. */
export function isOutdated(
  server: BackendServer,
  current: BackendServer,
): boolean {
  // It was written by an earlier incarnation of the server.
  if (server.startedAtMs < current.startedAtMs) return true;
  const isSameIncarnation = server.startedAtMs === current.startedAtMs;
  // A draining server accepts requests again only after a restart.
  return isSameIncarnation && current.isDraining && !server.isDraining;
}

/**
 * Returns whether an entry differs from the current one at most in its remaining
 * cold time, which peers count down by themselves.
 */
export function isColdTimeUpdate(
  current: BackendServer | undefined,
  server: BackendServer | undefined,
): boolean {
  if (current === undefined || server?.coldReport === undefined) return false;
  return isSameServer(current, server);
}

/**
 * Keeps the cold report of the current entry if the new one has no valid report,
 * or is the same row read again: its remaining time counts from its writing.
 */
export function keepColdReport(
  server: BackendServer,
  current: BackendServer | undefined,
): BackendServer {
  const known = current?.coldReport;
  if (known === undefined || current?.startedAtMs !== server.startedAtMs) {
    return server;
  }
  const {coldReport = known} = server;
  const isSame = isSameRow(known, coldReport);
  return {...server, coldReport: isSame ? known : coldReport};
}

/** Returns whether a server became cold, or stays cold for longer than known. */
function isColdExtended(
  known: ColdReport | undefined,
  report: ColdReport | undefined,
): boolean {
  if (report === undefined || report.remainingMs === 0) return false;
  if (known !== undefined && isSameRow(known, report)) return false;
  const knownUntilMs = known === undefined ? -Infinity : computeUntilMs(known);
  const baseMs = Math.max(knownUntilMs, report.receivedAtMs);
  return computeUntilMs(report) > baseMs + MIN_COLD_EXTENSION_MS;
}

function computeUntilMs({receivedAtMs, remainingMs}: ColdReport): number {
  return receivedAtMs + remainingMs;
}

function isSameRow(a: ColdReport, b: ColdReport): boolean {
  return a.entryRevision === b.entryRevision && a.remainingMs === b.remainingMs;
}
