/** Why an HTTP exchange failed. */
export enum HttpFailure {
  CONNECT = 'connect',
  SILENT = 'silent',
  CLOSED = 'closed',
  TOO_LARGE = 'too-large',
  LISTEN = 'listen',
}
