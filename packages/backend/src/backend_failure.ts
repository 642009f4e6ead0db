/** Why an exchange with a backend server failed. */
export enum BackendFailure {
  /** No byte of the request reached the backend server. */
  NOT_SENT = 'not-sent',
  /** The backend server replied that it did not run the request. */
  REFUSED = 'refused',
  /**
   * The backend server replied that it is leaving the fleet and did not run
   * the request.
   */
  LEAVING = 'leaving',
  /** No byte arrived within the silence timeout; the request may have run. */
  SILENT = 'silent',
  /** The exchange ended before it was complete; the request may have run. */
  DISCONNECTED = 'cut',
  /** The reply violates the protocol; the request may have run. */
  INVALID_REPLY = 'broken',
  /** The backend server crashed while it ran the request. */
  CRASHED = 'crashed',
}

/** Returns whether a failure proves that the request did not run. */
export function isKnownNotRun(failure: BackendFailure): boolean {
  return (
    failure === BackendFailure.NOT_SENT ||
    failure === BackendFailure.REFUSED ||
    failure === BackendFailure.LEAVING
  );
}
