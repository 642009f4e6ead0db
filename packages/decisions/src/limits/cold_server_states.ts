/** What the entry of a server says of its cold time. */
export interface ColdReport {
  /**
   * Remaining cold time, counted from the writing of the entry, in milliseconds;
   * 0 if the server is not cold.
   */
  readonly remainingMs: number;
  /**
   * When the entry was received from the store, on this daemon's monotonic
   * clock; later than its writing.
   */
  readonly receivedAtMs: number;
  /** Store revision of the entry. */
  readonly entryRevision: number;
}

/** Why a server counts as cold. */
export enum ColdReason {
  /** Its entry says so. */
  REPORTED = 'reported',
  /** Its entry is new, or it registered shortly before this daemon started. */
  REGISTERED = 'registered',
  /** It could not be reached, or is reached again. */
  UNREACHABLE = 'unreachable',
  /** The evacuation of its availability zone has ended. */
  ZONE_RETURNED = 'zone-returned',
}

/** A server of a service with a bound for cold servers. */
export interface ColdCandidate {
  readonly id: string;
  /** Start time in milliseconds since the epoch; 0 when not reported. */
  readonly startedAtMs: number;
  readonly coldReport?: ColdReport;
}

/** Current times on both clocks. */
export interface ColdTimes {
  /** On the monotonic clock. */
  readonly nowMs: number;
  /** In milliseconds since the epoch. */
  readonly epochMs: number;
}

/** State of a server, as last recorded. */
export interface ColdState {
  readonly id: string;
  /** When the server stops being cold, on the monotonic clock. */
  readonly coldUntilMs: number;
  readonly reason: ColdReason;
}

interface ColdRecord {
  readonly startedAtMs: number;
  /** Time for which the server is cold after a start. */
  startMs: number;
  report: ColdReport | undefined;
  coldUntilMs: number;
  reason: ColdReason;
  isUnreachable: boolean;
  lastReplyMs: number;
}

/**
 * Records until when servers are cold: by their entries and, until an entry says
 * otherwise, after events that may come with a restart of the server. Addresses
 * the load of a server that a daemon takes to be warm though it has just started.
 *
 * Used by package `router`; `nowMs` is in milliseconds of the monotonic clock.
 */
export class ColdServerStates {
  private readonly records = new Map<string, ColdRecord>();

  /**
   * Records a server of the list.
   *
   * @param startMs time for which a server of the service is cold after a start
   * @param isFirstList whether this is the first list of the service, whose
   *     entries may all be old
   */
  record(
    server: ColdCandidate,
    startMs: number,
    isFirstList: boolean,
    times: ColdTimes,
  ): void {
    const known = this.records.get(server.id);
    const isSameStart = known?.startedAtMs === server.startedAtMs;
    const record =
      known !== undefined && isSameStart
        ? known
        : this.addRecord(server, startMs, isFirstList, times);
    record.startMs = startMs;
    const {coldReport} = server;
    if (coldReport === undefined || isSameEntry(coldReport, record.report)) {
      return;
    }
    record.report = coldReport;
    record.coldUntilMs = coldReport.receivedAtMs + coldReport.remainingMs;
    record.reason = ColdReason.REPORTED;
  }

  /**
   * Records that a server could not be reached. Ignored if the server has replied
   * to another request since the attempt began: a connection of a busy host may
   * time out while the server runs.
   */
  recordUnreachable(id: string, attemptStartMs: number, nowMs: number): void {
    const record = this.records.get(id);
    if (record === undefined || record.lastReplyMs >= attemptStartMs) return;
    record.isUnreachable = true;
    updateColdUntil(record, ColdReason.UNREACHABLE, nowMs);
  }

  /** Records that a server has replied. */
  recordReachable(id: string, nowMs: number): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    record.lastReplyMs = nowMs;
    if (!record.isUnreachable) return;
    record.isUnreachable = false;
    updateColdUntil(record, ColdReason.UNREACHABLE, nowMs);
  }

  /** Records that the evacuation of a server's availability zone has ended. */
  recordZoneReturned(id: string, nowMs: number): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    updateColdUntil(record, ColdReason.ZONE_RETURNED, nowMs);
  }

  /** Returns whether a server is cold; false for a server not on record. */
  isCold(id: string, nowMs: number): boolean {
    return (this.records.get(id)?.coldUntilMs ?? -Infinity) > nowMs;
  }

  /** Computes the time until a server stops being cold, in milliseconds. */
  computeRemainingMs(id: string, nowMs: number): number {
    const untilMs = this.records.get(id)?.coldUntilMs ?? -Infinity;
    return Math.max(0, untilMs - nowMs);
  }

  /** Lists the servers that are cold. */
  listCold(nowMs: number): ColdState[] {
    const cold: ColdState[] = [];
    for (const [id, {coldUntilMs, reason}] of this.records) {
      if (coldUntilMs > nowMs) cold.push({id, coldUntilMs, reason});
    }
    return cold;
  }

  /** Removes the records of all servers but those given. */
  removeAllBut(ids: ReadonlySet<string>): void {
    for (const id of this.records.keys()) {
      if (!ids.has(id)) this.records.delete(id);
    }
  }

  private addRecord(
    {id, startedAtMs}: ColdCandidate,
    startMs: number,
    isFirstList: boolean,
    {nowMs, epochMs}: ColdTimes,
  ): ColdRecord {
    const hasJustStarted = startedAtMs > 0 && epochMs - startedAtMs < startMs;
    const isNew = !isFirstList || hasJustStarted;
    const record = {
      startedAtMs,
      startMs,
      report: undefined,
      coldUntilMs: isNew ? nowMs + startMs : -Infinity,
      reason: ColdReason.REGISTERED,
      isUnreachable: false,
      lastReplyMs: -Infinity,
    };
    this.records.set(id, record);
    return record;
  }
}

function isSameEntry(
  {entryRevision, remainingMs}: ColdReport,
  other: ColdReport | undefined,
): boolean {
  return (
    other?.entryRevision === entryRevision && other.remainingMs === remainingMs
  );
}

function updateColdUntil(
  record: ColdRecord,
  reason: ColdReason,
  nowMs: number,
): void {
  const untilMs = nowMs + record.startMs;
  if (untilMs <= record.coldUntilMs) return;
  record.coldUntilMs = untilMs;
  record.reason = reason;
}
