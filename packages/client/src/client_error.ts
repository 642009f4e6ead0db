import {LayerError} from '@greengagecross/common';
import type {ExitCode} from './exit_code.js';

/** A command that failed, with what its operator should do next. */
export class ClientError extends LayerError {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
    readonly advice: string,
    cause?: Error,
  ) {
    super('ClientError', message, {exitCode}, cause);
  }
}
