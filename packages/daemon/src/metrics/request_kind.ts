/** What a caller's request is for, as it is counted. */
export enum RequestKind {
  DIRECTORY = 'directory',
  CHAT = 'chat',
  SERVICE = 'service',
  /** None of these, or bytes that are no request. */
  OTHER = 'other',
}
