import type {Address} from '@greengagecross/common';
import type {
  HttpExchange,
  OpenReply,
  OutgoingHeaders,
  ReplyId,
} from '@greengagecross/http';
import type {BackendReplyHead} from '../model/backend_reply_head.js';
import type {CallAddress, ClientCall} from '../model/client_call.js';
import type {DispatchFields} from '../model/dispatch_fields.js';

/** Translates requests, replies and answers between wire format and model. */
export abstract class CallCodec {
  /** Decodes what decides whether a client request is admitted. */
  abstract decodeAddress(exchange: HttpExchange): CallAddress;

  /** Decodes the rest of the head of a request that was admitted. */
  abstract decodeCall(exchange: HttpExchange, address: CallAddress): ClientCall;

  /** Builds all headers of a request to a backend server. */
  abstract buildBackendHeaders(
    call: ClientCall,
    fields: DispatchFields,
  ): OutgoingHeaders;

  /** Returns how replies name a request; undefined if it has no id. */
  abstract getReplyId(call: ClientCall): ReplyId | undefined;

  /**
   * Decodes the head of a backend server's reply. Whether a reply without the
   * request's id belongs to it may depend on what its connection had carried.
   */
  abstract decodeReply(
    call: ClientCall,
    reply: Omit<OpenReply, 'stream'>,
  ): BackendReplyHead;

  /**
   * Builds the headers of an answer that the router generates itself.
   *
   * @param call the request; undefined when none was decoded
   * @param retryAfterMs delay before the client may retry; undefined for none
   */
  abstract buildLocalAnswerHeaders(
    call: CallAddress | undefined,
    retryAfterMs: number | undefined,
  ): OutgoingHeaders;

  /** Decodes the availability zone of the client of a directory request. */
  abstract decodeClientZone(exchange: HttpExchange): string;

  /**
   * Encodes a directory answer, which is sent as JSON.
   *
   * @param ttlMs time that the client caches the answer
   */
  abstract encodeDirectory(
    addresses: readonly Address[],
    ttlMs: number,
  ): object;
}
