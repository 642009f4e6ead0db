import VError from 'verror';

/** Base of every layer's error; `info` holds fields that are safe to log. */
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

/** Turns anything that was thrown into an Error. */
export function toError(thrown: unknown): Error {
  return thrown instanceof Error ? thrown : new Error(String(thrown));
}
