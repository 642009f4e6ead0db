/** Kind of a caller's request; label of the request metrics. */
export enum RequestKind {
  DIRECTORY = 'directory',
  CHAT = 'chat',
  SERVICE = 'service',
  /** An unknown path, or bytes that are not a valid request. */
  OTHER = 'other',
}
