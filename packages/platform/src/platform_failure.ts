/** Whether a failed call to the platform may have taken effect. */
export enum PlatformFailure {
  /** No effect: the call was not sent, or the platform replied 503. */
  UNREACHABLE = 'unreachable',
  /**
   * The call may have taken effect: the reply was lost, late or unreadable, or
   * its status was 5xx other than 503.
   */
  UNCERTAIN = 'uncertain',
  /** The platform rejected the call, or a stored row cannot be parsed. */
  REFUSED = 'refused',
}
