/** Prefix of the codes of errors of Node's parser. */
const PARSER_ERROR_PREFIX = 'HPE_';

/** Received bytes are not a reply in HTTP/1.0 or HTTP/1.1. */
export class MalformedReplyError extends Error {}

/** Returns whether an error says that received bytes are not a reply. */
export function isMalformedReply(error: Error): boolean {
  if (error instanceof MalformedReplyError) return true;
  const {code} = error as NodeJS.ErrnoException;
  return code?.startsWith(PARSER_ERROR_PREFIX) === true;
}
