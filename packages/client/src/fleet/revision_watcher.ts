import {Clock, Effect} from 'effect';
import type {ProgressLine} from '../progress_line.js';
import type {DaemonReading, FleetReader} from './fleet_reader.js';

const WAIT_TIMEOUT_MS = 5000;
const POLL_INTERVAL_MS = 250;

/** Revision that a daemon has loaded; undefined if it does not answer. */
export interface DaemonRevision {
  readonly id: string;
  readonly revision: number | undefined;
}

/** Result of waiting for a revision, with lines for the operator. */
export interface RevisionWaitResult {
  readonly isOnAllDaemons: boolean;
  readonly daemons: readonly DaemonRevision[];
  readonly lines: readonly string[];
}

/** Waits until a revision is in force on every live daemon. */
export class RevisionWatcher {
  constructor(
    private readonly reader: FleetReader,
    private readonly progress: ProgressLine,
  ) {}

  /**
   * Waits until every daemon reports at least this revision, at most 5 s.
   *
   * A daemon that does not answer counts as one without the revision.
   */
  wait(revision: number): Effect.Effect<RevisionWaitResult, Error> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const {hosts} = yield* this.reader.listHosts();
      const readings = new Map<string, DaemonReading>();
      let pending = hosts;
      let elapsedMs = 0;
      for (;;) {
        const read = yield* this.reader.read(pending);
        for (const reading of read) readings.set(reading.id, reading);
        pending = pending.filter(host =>
          isBehind(readings.get(host.id), revision),
        );
        elapsedMs = (yield* Clock.currentTimeMillis) - startMs;
        if (pending.length === 0 || elapsedMs >= WAIT_TIMEOUT_MS) break;
        this.progress.print(
          `Waiting for ${pending.length} of ${hosts.length} daemons ...`,
          elapsedMs,
        );
        yield* Effect.sleep(POLL_INTERVAL_MS);
      }
      this.progress.remove();
      return makeWaitResult(revision, [...readings.values()], elapsedMs);
    });
  }
}

function isBehind(
  reading: DaemonReading | undefined,
  revision: number,
): boolean {
  return (reading?.report?.configuration.revision ?? 0) < revision;
}

function makeWaitResult(
  revision: number,
  readings: readonly DaemonReading[],
  elapsedMs: number,
): RevisionWaitResult {
  const daemons = readings.map(({id, report}) => ({
    id,
    revision: report?.configuration.revision,
  }));
  const behind = daemons.filter(d => (d.revision ?? 0) < revision);
  const answering = behind.filter(daemon => daemon.revision !== undefined);
  const updatedCount = daemons.length - behind.length;
  const silentCount = behind.length - answering.length;
  const lines = [
    `In force on ${updatedCount} of ${daemons.length} daemons after ${(elapsedMs / 1000).toFixed(1)} s.`,
    ...answering.map(d => `  ${d.id} still has revision ${d.revision}.`),
    ...behind
      .filter(daemon => daemon.revision === undefined)
      .map(daemon => `  ${daemon.id} does not answer.`),
  ];
  if (daemons.length === 0) {
    const none = ['The fleet has no daemon that could load the revision.'];
    return {isOnAllDaemons: false, daemons, lines: none};
  }
  return {isOnAllDaemons: answering.length + silentCount === 0, daemons, lines};
}
