import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';

/** A reply whose body was read whole. */
export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A reply whose body is still to be read. */
export interface OpenReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly stream: IncomingMessage;
}
