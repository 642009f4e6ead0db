/** Whether a failed call to the platform may have taken effect. */
export enum PlatformFailure {
  /** No effect: the call was not sent, or the platform replied 503. */
  UNREACHABLE = 'unreachable',
  /**
   * The call may have taken effect: the reply was lost, late or unreadable, or
   * its status was 5xx other than 503.
   */
  UNCERTAIN = 'uncertain',
  /**
   * No effect: the platform rejected the call with another status, or a row was
   * read that cannot be parsed.
   */
  REFUSED = 'refused',
}
