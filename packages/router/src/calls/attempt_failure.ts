import {LayerError} from '@greengagecross/common';

/** Why an attempt at one backend server gave no answer. */
export enum AttemptFailureKind {
  /** No connection was opened; the request did not run. */
  NOT_SENT = 'not-sent',
  /** The server states that it did not run the request. */
  NOT_RUN = 'not-run',
  /** The server sent nothing in time; the request may have run. */
  SILENT = 'silent',
  /** The connection ended early; the request may have run. */
  CUT = 'cut',
  /** The answer was not one of the protocol; the request may have run. */
  BROKEN = 'broken',
}

/** An attempt that gave no answer to pass on. */
export class AttemptFailure extends LayerError {
  constructor(
    readonly kind: AttemptFailureKind,
    readonly serverId: string,
    cause?: Error,
  ) {
    super('AttemptFailure', `server ${serverId}: ${kind}`, {serverId}, cause);
  }

  /** Tells whether the server may have run the request. */
  isPossiblyRun(): boolean {
    return (
      this.kind !== AttemptFailureKind.NOT_SENT &&
      this.kind !== AttemptFailureKind.NOT_RUN
    );
  }
}
