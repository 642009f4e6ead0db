/** Why a request got no reply at all. */
export enum SendFailure {
  NOT_CONNECTED = 'not-connected',
  CUT = 'cut',
}
