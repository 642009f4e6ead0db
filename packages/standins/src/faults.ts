/** Faults that a stand-in brings about on request; all off at first. */
export interface StandinFaults {
  /** Answers 503 to every call. */
  readonly down: boolean;
  /** Delay before each answer, in milliseconds. */
  readonly slowMs: number;
  /** Destroys the connection after the call took effect. */
  readonly loseReplies: boolean;
  /** Lets the call take effect and never answers it. */
  readonly holdReplies: boolean;
  /** Path prefix that the faults are limited to; empty for every path. */
  readonly onlyPath: string;
  /** Leaves connections open that were open, without answering on them. */
  readonly silentOpen: boolean;
  /** Age of what is shown, in milliseconds. */
  readonly lagMs: number;
  /** Refuses new work and says that it is leaving. */
  readonly leaving: boolean;
  /** Share of requests that fail with status 500 after they ran, 0 to 1. */
  readonly failShare: number;
  /** Ends the process on a request whose body holds the crash marker. */
  readonly crashOnMarker: boolean;
}

/** No fault. */
export const NO_FAULTS: StandinFaults = {
  down: false,
  slowMs: 0,
  loseReplies: false,
  holdReplies: false,
  onlyPath: '',
  silentOpen: false,
  lagMs: 0,
  leaving: false,
  failShare: 0,
  crashOnMarker: true,
};

/** Text that makes a stand-in engine crash. */
export const CRASH_MARKER = 'greengagecross-crash-this-engine';
