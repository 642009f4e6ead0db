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
  readonly stream: IncomingMessage;
  /** The connection that the reply came on. */
  readonly connectionUse: ConnectionUse;
}
