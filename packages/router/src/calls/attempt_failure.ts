import {LayerError} from '@greengagecross/common';
import type {ConnectionUse} from '@greengagecross/http';

/** Why an attempt at one backend server produced no reply to forward. */
export enum AttemptFailureKind {
  /** No connection was opened; the request was not run. */
  NOT_SENT = 'not-sent',
  /** The server states that it did not run the request. */
  NOT_RUN = 'not-run',
  /** No byte arrived within the silence timeout; the request may have been run. */
  SILENT = 'silent',
  /** The connection ended early; the request may have been run. */
  DISCONNECTED = 'cut',
  /** The reply was invalid; the request may have been run. */
  INVALID_REPLY = 'broken',
}

/** A reply that ended an attempt without an answer. */
export interface RejectedReply extends ConnectionUse {
  readonly status: number;
}

/** Failure of an attempt that produced no reply to forward. */
export class AttemptFailure extends LayerError {
  constructor(
    readonly kind: AttemptFailureKind,
    readonly serverId: string,
    cause?: Error,
    readonly reply?: RejectedReply,
  ) {
    super('AttemptFailure', `server ${serverId}: ${kind}`, {serverId}, cause);
  }

  /** Returns whether the server may have run the request. */
  isPossiblyRun(): boolean {
    return (
      this.kind !== AttemptFailureKind.NOT_SENT &&
      this.kind !== AttemptFailureKind.NOT_RUN
    );
  }
}
