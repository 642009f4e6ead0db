/** What is known after a call to the platform failed. */
export enum PlatformFailure {
  /** The call had no effect: it never reached the platform. */
  UNREACHABLE = 'unreachable',
  /** The call may have taken effect: its reply was lost or late. */
  UNCERTAIN = 'uncertain',
  /** The platform refused or answered with something unreadable. */
  REFUSED = 'refused',
}
