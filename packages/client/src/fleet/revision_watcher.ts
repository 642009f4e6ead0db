import {Clock, Effect} from 'effect';
import type {ProgressLine} from '../progress_line.js';
import type {DaemonReading, FleetReader} from './fleet_reader.js';

const WAIT_TIMEOUT_MS = 5000;
const POLL_INTERVAL_MS = 250;

/** Revision that a daemon has loaded; undefined if it does not reply. */
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

/** Waits until every listed daemon has loaded a revision. */
export class RevisionWatcher {
  constructor(
    private readonly reader: FleetReader,
    private readonly progress: ProgressLine,
  ) {}

  /**
   * Waits at most 5 s until every listed daemon has loaded this revision or a
   * newer one.
   *
   * A daemon that does not reply counts as one without the revision.
   */
  wait(revision: number): Effect.Effect<RevisionWaitResult, Error> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const {daemons} = yield* this.reader.listDaemons();
      const readings = new Map<string, DaemonReading>();
      let pending = daemons;
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
          `Waiting for ${pending.length} of ${daemons.length} daemons ...`,
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
  const answeringBehind = behind.filter(
    daemon => daemon.revision !== undefined,
  );
  const updatedCount = daemons.length - behind.length;
  const silentCount = behind.length - answeringBehind.length;
  const lines = [
    `In force on ${updatedCount} of ${daemons.length} daemons after ${(elapsedMs / 1000).toFixed(1)} s.`,
    ...answeringBehind.map(d => `  ${d.id} still has revision ${d.revision}.`),
    ...behind
      .filter(daemon => daemon.revision === undefined)
      .map(daemon => `  ${daemon.id} does not answer.`),
  ];
  if (daemons.length === 0) {
    const none = ['The fleet has no daemon that could load the revision.'];
    return {isOnAllDaemons: false, daemons, lines: none};
  }
  return {
    isOnAllDaemons: answeringBehind.length + silentCount === 0,
    daemons,
    lines,
  };
}
