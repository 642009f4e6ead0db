/** What the requests of an accepted connection wait for. */
export enum ConnectionState {
  /** The rest of a request, of which nothing is handled yet. */
  RECEIVING,
  /** Replies. */
  BUSY,
  /** There are none. */
  IDLE,
}
