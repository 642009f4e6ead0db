/** Crashes one after the other, without an answer between, that condemn a part. */
export const CONDEMNED_CRASHES = 3;
/** Time until a condemned part is tried again; doubled after each trial. */
const FIRST_CONDEMNED_MS = 60_000;
const MAX_CONDEMNED_MS = 600_000;
/**
 * Crashes of one server within this time are one crash, seen by several daemons
 * or reported late: a server needs longer to be back.
 */
const SAME_CRASH_MS = 2000;
/**
 * Reports of other daemons are late by the time of transit, so that a request
 * may seem to have been sent this long before the crash that it followed.
 */
const TRANSIT_MS = 20;

/** Crash of one backend server, on the monotonic clock. */
export interface ServerCrash {
  readonly server: string;
  readonly atMs: number;
  /** When the last request was sent that waited at the server. */
  readonly sentAtMs: number;
}

/** A prompt part with its position in prompts; a later part is more specific. */
export interface PositionedPart {
  readonly id: string;
  /** 0 for the first part of a prompt. */
  readonly position: number;
}

/** A part with the crashes of servers at which requests with it waited. */
export interface SuspectPart extends PositionedPart {
  /** Since the last answer, in order of time. */
  readonly crashes: readonly ServerCrash[];
  /** When an answer last began, on the monotonic clock; -Infinity for never. */
  readonly clearedAtMs: number;
}

/** A part that no server gets, alone or together with others. */
export interface CondemnedPart {
  readonly id: string;
  /**
   * Parts under which the same servers crashed, so that any of them may be the
   * cause: only prompts with all of them are refused.
   */
  readonly togetherWith: readonly string[];
  /** Servers that crashed while a request with the part waited, in order. */
  readonly crashes: readonly ServerCrash[];
  /** When one request may try the part again, on the monotonic clock. */
  readonly trialAtMs: number;
}

/**
 * Condemns as few parts as explain the crashes: first the part with the most
 * crashes, then the part with the most of those that are left. Of two parts
 * with as many, the more specific one refuses fewer requests. Parts with the
 * same crashes are condemned together.
 */
export function chooseCondemned(
  suspects: readonly SuspectPart[],
): CondemnedPart[] {
  const condemned: CondemnedPart[] = [];
  let explained: readonly ServerCrash[] = [];
  for (;;) {
    const worst = findWorst(suspects, explained);
    if (worst === undefined) return condemned;
    const {id, crashes} = worst;
    const unexplained = keepUnexplained(crashes, explained);
    const togetherWith = suspects
      .filter(suspect => suspect !== worst)
      .filter(suspect => hasSameCrashes(suspect, unexplained, explained))
      .map(suspect => suspect.id);
    const trialAtMs = computeTrialAtMs(crashes);
    condemned.push({id, togetherWith, crashes, trialAtMs});
    explained = [...explained, ...crashes];
  }
}

/** Returns whether two records are of one crash. */
export function isSameCrash(a: ServerCrash, b: ServerCrash): boolean {
  return a.server === b.server && Math.abs(a.atMs - b.atMs) < SAME_CRASH_MS;
}

function findWorst(
  suspects: readonly SuspectPart[],
  explained: readonly ServerCrash[],
): SuspectPart | undefined {
  let worst: SuspectPart | undefined;
  let most = 0;
  for (const suspect of suspects) {
    const unexplained = keepUnexplained(suspect.crashes, explained);
    const count = countInSequence(unexplained);
    if (count < CONDEMNED_CRASHES || count < most) continue;
    if (count === most && !isMoreSpecific(suspect, worst)) continue;
    worst = suspect;
    most = count;
  }
  return worst;
}

function keepUnexplained(
  crashes: readonly ServerCrash[],
  explained: readonly ServerCrash[],
): ServerCrash[] {
  return crashes.filter(
    crash => !explained.some(known => isSameCrash(known, crash)),
  );
}

/** Returns whether a part's unexplained crashes are the given ones. */
function hasSameCrashes(
  {crashes}: SuspectPart,
  expected: readonly ServerCrash[],
  explained: readonly ServerCrash[],
): boolean {
  const unexplained = keepUnexplained(crashes, explained);
  return (
    unexplained.length === expected.length &&
    expected.every(crash => unexplained.some(own => isSameCrash(own, crash)))
  );
}

/**
 * Counts the crashes whose request was sent after the crash before. Servers
 * that go down together for another reason, such as the loss of a rack, count
 * once, however many requests with a popular part waited at them.
 */
function countInSequence(crashes: readonly ServerCrash[]): number {
  let count = 0;
  let lastMs = -Infinity;
  for (const {atMs, sentAtMs} of crashes) {
    if (sentAtMs < lastMs - TRANSIT_MS) continue;
    count += 1;
    lastMs = atMs;
  }
  return count;
}

function isMoreSpecific(
  a: PositionedPart,
  b: PositionedPart | undefined,
): boolean {
  if (b === undefined || a.position > b.position) return true;
  return a.position === b.position && a.id < b.id;
}

/** A crash long after the one before it was a trial, and doubles the time. */
function computeTrialAtMs(crashes: readonly ServerCrash[]): number {
  let waitMs = FIRST_CONDEMNED_MS;
  let lastMs = crashes[0]?.atMs ?? 0;
  for (const {atMs} of crashes) {
    if (atMs - lastMs >= FIRST_CONDEMNED_MS / 2) waitMs *= 2;
    lastMs = atMs;
  }
  return lastMs + Math.min(waitMs, MAX_CONDEMNED_MS);
}
