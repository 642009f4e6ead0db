import {LayerError} from '@greengagecross/common';
import type {ExitCode} from './exit_code.js';

/** Failure of a command, with its exit code and advice for the operator. */
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
