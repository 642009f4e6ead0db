import type {HeaderField} from './header_field.js';
import {MalformedReplyError} from './malformed_reply_error.js';

/** The reason may be missing, also with the blank before it. */
const STATUS_LINE = /^HTTP\/1\.([01]) ([1-5]\d\d)(?: .*)?$/s;
const SWITCHING_PROTOCOLS = 101;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const LENGTH_PATTERN = /^\d{1,15}$/;

/** How the end of a reply's body is marked. */
export enum BodyFraming {
  /** The status allows no body. */
  NONE,
  LENGTH,
  CHUNKS,
  /** The body ends with its connection. */
  CONNECTION_END,
}

/** Status and header fields of a well-formed reply. */
export class ReplyHead {
  readonly status: number;
  readonly framing: BodyFraming;
  /** Value of `content-length`; 0 if there is none. */
  readonly contentLength: number;

  constructor(
    statusLine: string,
    private readonly fields: readonly HeaderField[],
  ) {
    const [, minorVersion, status] = STATUS_LINE.exec(statusLine) ?? [];
    if (status === undefined) {
      throw new MalformedReplyError('the status line is malformed');
    }
    this.status = Number(status);
    if (this.status === SWITCHING_PROTOCOLS) {
      throw new MalformedReplyError('the protocol is switched without request');
    }
    this.contentLength = this.parseContentLength();
    this.framing = this.parseFraming(minorVersion === '1');
  }

  /** Returns whether the final head of the reply is still to come. */
  isInformational(): boolean {
    return this.status < 200;
  }

  /**
   * Finds the value of a field by its name in lower case; values of several
   * fields of this name are joined by commas, as Node does.
   */
  findHeader(name: string): string | undefined {
    const values = this.listValues(name);
    return values.length === 0 ? undefined : values.join(', ');
  }

  private listValues(name: string): string[] {
    return this.fields
      .filter(field => field.name === name)
      .map(({value}) => value);
  }

  private parseContentLength(): number {
    const values = this.listValues('content-length');
    if (values.length === 0) return 0;
    const [value = ''] = values;
    if (values.length > 1 || !LENGTH_PATTERN.test(value)) {
      throw new MalformedReplyError('the content length is malformed');
    }
    return Number(value);
  }

  private parseFraming(mayBeChunked: boolean): BodyFraming {
    const codings = this.listValues('transfer-encoding');
    const isChunked = codings.length > 0;
    const hasLength = this.listValues('content-length').length > 0;
    if (isChunked) {
      const isKnown = codings.join().toLowerCase() === 'chunked';
      if (!isKnown || !mayBeChunked || hasLength) {
        throw new MalformedReplyError('the transfer encoding is malformed');
      }
    }
    if (this.status === NOT_MODIFIED) return BodyFraming.NONE;
    if (this.isInformational() || this.status === NO_CONTENT) {
      if (isChunked || this.contentLength > 0) {
        throw new MalformedReplyError(`status ${this.status} has a body`);
      }
      return BodyFraming.NONE;
    }
    if (isChunked) return BodyFraming.CHUNKS;
    return hasLength ? BodyFraming.LENGTH : BodyFraming.CONNECTION_END;
  }
}
