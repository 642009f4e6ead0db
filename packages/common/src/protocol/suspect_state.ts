/**
 * State of a request that was in flight when its backend server crashed. Not
 * related to {@link MemberState.SUSPECT}, which concerns daemons.
 */
export enum SuspectState {
  /**
   * The request was in flight at one crash. It runs again only as a trial: a
   * run beside no other suspect on the same backend server.
   */
  SUSPECT = 'suspect',
  /** The request has ended with a complete answer since the crash. */
  CLEARED = 'cleared',
  /** The trial of the request ended in another crash; the request is refused. */
  CONDEMNED = 'condemned',
}
