import {Clock, Effect} from 'effect';
import type {ProgressLine} from '../progress_line.js';
import type {DaemonReading, FleetReader} from './fleet_reader.js';

const WAIT_LIMIT_MS = 5000;
const CHECK_MS = 250;

/** One daemon's revision; undefined when it does not answer. */
export interface DaemonRevision {
  readonly id: string;
  readonly revision: number | undefined;
}

/** Which daemons have a revision. */
export interface RevisionWait {
  readonly isEverywhere: boolean;
  readonly daemons: readonly DaemonRevision[];
  readonly lines: readonly string[];
}

/** Waits until a revision is in force on every live daemon. */
export class RevisionWatcher {
  constructor(
    private readonly reader: FleetReader,
    private readonly progress: ProgressLine,
  ) {}

  /** Waits until every daemon that answers has it, or for the stated 5 s. */
  wait(revision: number): Effect.Effect<RevisionWait, Error> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const {hosts} = yield* this.reader.listHosts();
      const readings = new Map<string, DaemonReading>();
      let open = hosts;
      let elapsedMs = 0;
      for (;;) {
        const read = yield* this.reader.read(open);
        for (const reading of read) readings.set(reading.id, reading);
        open = open.filter(host => isBehind(readings.get(host.id), revision));
        elapsedMs = (yield* Clock.currentTimeMillis) - startMs;
        if (open.length === 0 || elapsedMs >= WAIT_LIMIT_MS) break;
        this.progress.print(
          `Waiting for ${open.length} of ${hosts.length} daemons ...`,
          elapsedMs,
        );
        yield* Effect.sleep(CHECK_MS);
      }
      this.progress.remove();
      return makeWait(revision, [...readings.values()], elapsedMs);
    });
  }
}

function isBehind(
  reading: DaemonReading | undefined,
  revision: number,
): boolean {
  return (reading?.report?.configuration.revision ?? 0) < revision;
}

function makeWait(
  revision: number,
  readings: readonly DaemonReading[],
  elapsedMs: number,
): RevisionWait {
  const daemons = readings.map(({id, report}) => ({
    id,
    revision: report?.configuration.revision,
  }));
  const behind = daemons.filter(d => (d.revision ?? 0) < revision);
  const live = behind.filter(daemon => daemon.revision !== undefined);
  const having = daemons.length - behind.length;
  const silent = behind.length - live.length;
  const lines = [
    `In force on ${having} of ${daemons.length} daemons after ${(elapsedMs / 1000).toFixed(1)} s.`,
    ...live.map(d => `  ${d.id} still has revision ${d.revision}.`),
    ...behind
      .filter(daemon => daemon.revision === undefined)
      .map(daemon => `  ${daemon.id} does not answer.`),
  ];
  if (daemons.length === 0) {
    const none = ['The host list shows no daemon that could have it.'];
    return {isEverywhere: false, daemons, lines: none};
  }
  return {isEverywhere: live.length + silent === 0, daemons, lines};
}
