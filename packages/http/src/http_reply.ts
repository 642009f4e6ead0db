import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ConnectionUse} from './pooled_connection.js';

/** A reply with its complete body. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A reply whose headers are received; its body is read from `stream`. */
export interface OpenReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Names and values in turn, as received; `headers` joins repeated fields. */
  readonly rawHeaders: readonly string[];
  readonly stream: IncomingMessage;
  /** The connection that the reply came on. */
  readonly connectionUse: ConnectionUse;
}

/** Counts the fields with a name, given in lower case. */
export function countHeaders(
  rawHeaders: readonly string[],
  name: string,
): number {
  return rawHeaders.filter(
    (text, at) =>
      at % 2 === 0 &&
      text.length === name.length &&
      text.toLowerCase() === name,
  ).length;
}
