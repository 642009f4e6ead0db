import {Cause, Effect, Exit} from 'effect';
import {toError, ValidationError} from '@greengagecross/common';
import {ClientContext} from './client_context.js';
import {ClientError} from './client_error.js';
import {ExitCode} from './exit_code.js';

/** Arguments that every command takes. */
export const COMMON_ARGS = {
  settings: {
    type: 'string',
    description: 'Settings file of the client.',
    default: 'greengagecross.json',
  },
  json: {
    type: 'boolean',
    description: 'Print one JSON object for scripts.',
    default: false,
  },
} as const;

/** Output of a command: a value for `--json`, lines for people otherwise. */
export interface CommandOutput {
  readonly value: unknown;
  readonly lines: readonly string[];
  /** Defaults to OK. */
  readonly exitCode?: ExitCode;
}

/**
 * Runs a command's work, prints its output and sets the exit code.
 *
 * A failure is printed with advice instead of being thrown: to stderr, or as
 * JSON to stdout with `--json`.
 */
export async function runClientCommand(
  args: {readonly settings: string; readonly json: boolean},
  work: (context: ClientContext) => Effect.Effect<CommandOutput, Error>,
): Promise<void> {
  let context: ClientContext | undefined;
  try {
    context = new ClientContext(args.settings);
    const exit = await Effect.runPromiseExit(work(context));
    if (!Exit.isSuccess(exit)) throw Cause.squash(exit.cause);
    const {value, lines, exitCode} = exit.value;
    const text = args.json ? JSON.stringify(value) : lines.join('\n');
    process.stdout.write(`${text}\n`);
    process.exitCode = exitCode ?? ExitCode.OK;
  } catch (thrown) {
    reportFailure(toError(thrown), args.json);
  } finally {
    context?.close();
  }
}

function reportFailure(error: Error, isJson: boolean): void {
  const failure = toClientError(error);
  process.exitCode = failure.exitCode;
  if (isJson) {
    const {message, advice, exitCode} = failure;
    process.stdout.write(
      `${JSON.stringify({error: message, advice, exitCode})}\n`,
    );
    return;
  }
  process.stderr.write(`${failure.message}\n${failure.advice}\n`);
}

function toClientError(error: Error): ClientError {
  if (error instanceof ClientError) return error;
  if (error instanceof ValidationError) {
    return new ClientError(
      ExitCode.BAD_INPUT,
      error.message,
      'Correct the values in the message and run the command again.',
    );
  }
  return new ClientError(
    ExitCode.FAILED,
    error.message,
    'Run the command again; if it keeps failing, see docs/operations/README.md.',
  );
}
