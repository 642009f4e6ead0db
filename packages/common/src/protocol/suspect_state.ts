/** What is held against a request that a backend server crashed under. */
export enum SuspectState {
  /** It was in flight at one crash; it runs again only as a trial. */
  SUSPECT = 'suspect',
  /** It has ended whole since then. */
  CLEARED = 'cleared',
  /** Its trial ended in another crash; it is refused. */
  CONDEMNED = 'condemned',
}
