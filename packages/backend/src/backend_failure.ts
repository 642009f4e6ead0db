/** What is known after an exchange with a backend server failed. */
export enum BackendFailure {
  /** No byte reached it. */
  NOT_SENT = 'not-sent',
  /** It answered that it did not run the request. */
  REFUSED = 'refused',
  /** It answered that it is leaving and did not run the request. */
  LEAVING = 'leaving',
  /** It went silent; the request may have run. */
  SILENT = 'silent',
  /** The connection ended early; the request may have run. */
  CUT = 'cut',
  /** It answered with something that breaks its protocol. */
  BROKEN = 'broken',
  /** It crashed while it ran the request. */
  CRASHED = 'crashed',
}

/** Tells whether the request is known not to have run. */
export function isKnownNotRun(failure: BackendFailure): boolean {
  return (
    failure === BackendFailure.NOT_SENT ||
    failure === BackendFailure.REFUSED ||
    failure === BackendFailure.LEAVING
  );
}
