import VError from 'verror';

/** Base class of the errors of all packages. `info` must be safe to log. */
export abstract class LayerError extends VError {
  constructor(
    name: string,
    message: string,
    info: Readonly<Record<string, string | number | boolean>> = {},
    cause?: Error,
  ) {
    super(
      cause === undefined ? {name, info} : {name, info, cause},
      '%s',
      message,
    );
  }
}

/** Returns an Error unchanged; wraps the text of any other thrown value. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
