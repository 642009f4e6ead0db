import type {Address} from '@greengagecross/common';
import type {
  HttpExchange,
  OpenReply,
  OutgoingHeaders,
} from '@greengagecross/http';
import type {BackendReplyHead} from '../model/backend_reply_head.js';
import type {ClientCall} from '../model/client_call.js';
import type {DispatchFields} from '../model/dispatch_fields.js';

/** Translates requests and replies between the wire and this project's types. */
export abstract class CallCodec {
  /** Decodes a request's head. */
  abstract decodeCall(exchange: HttpExchange): ClientCall;

  /** Builds all headers of a request to a backend server. */
  abstract buildBackendHeaders(
    call: ClientCall,
    fields: DispatchFields,
  ): OutgoingHeaders;

  /** Decodes the head of a backend server's reply. */
  abstract decodeReply(
    call: ClientCall,
    reply: Pick<OpenReply, 'status' | 'headers'>,
  ): BackendReplyHead;

  /**
   * Builds the headers of an answer of this system's own.
   *
   * @param retryAfterMs when the client may come again, if it may
   */
  abstract buildOwnHeaders(
    call: ClientCall | undefined,
    retryAfterMs: number | undefined,
  ): OutgoingHeaders;

  /** Decodes the availability zone of a client that asks where to connect. */
  abstract decodeClientZone(exchange: HttpExchange): string;

  /**
   * Encodes the daemons that a client may connect to.
   *
   * @param ttlMs how long the client keeps the answer
   */
  abstract encodeDirectory(
    addresses: readonly Address[],
    ttlMs: number,
  ): object;
}
