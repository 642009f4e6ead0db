/** Why a request got no complete reply. */
export enum SendFailure {
  /** No byte of the request was sent. */
  NOT_CONNECTED = 'not-connected',
  /** The connection was lost after the request was sent, at least in part. */
  CONNECTION_LOST = 'cut',
}
