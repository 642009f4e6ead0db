import {LayerError} from '@greengagecross/common';

/** Why an attempt at one backend server produced no answer. */
export enum AttemptFailureKind {
  /** No connection was opened; the request was not executed. */
  NOT_SENT = 'not-sent',
  /** The server states that it did not execute the request. */
  NOT_RUN = 'not-run',
  /** No byte arrived in time; the request may have been executed. */
  SILENT = 'silent',
  /** The connection ended early; the request may have been executed. */
  DISCONNECTED = 'cut',
  /** The reply was invalid; the request may have been executed. */
  INVALID_REPLY = 'broken',
}

/** Failure of an attempt that produced no answer to forward. */
export class AttemptFailure extends LayerError {
  constructor(
    readonly kind: AttemptFailureKind,
    readonly serverId: string,
    cause?: Error,
  ) {
    super('AttemptFailure', `server ${serverId}: ${kind}`, {serverId}, cause);
  }

  /** Returns whether the server may have executed the request. */
  isPossiblyRun(): boolean {
    return (
      this.kind !== AttemptFailureKind.NOT_SENT &&
      this.kind !== AttemptFailureKind.NOT_RUN
    );
  }
}
