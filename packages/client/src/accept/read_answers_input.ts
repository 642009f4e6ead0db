import {Effect} from 'effect';
import {toError} from '@greengagecross/common';
import {parseAnswers, type Answers} from '@greengagecross/questionnaire';
import type {ClientContext} from '../client_context.js';
import {ClientError} from '../client_error.js';
import {readInputFile} from '../client_settings.js';
import {ExitCode} from '../exit_code.js';

/** Arguments of commands that read a file of answers. */
export const ANSWERS_ARGS = {
  answers: {
    type: 'string',
    description: 'JSON file with the answers.',
    required: true,
  },
  base: {
    type: 'string',
    description:
      'Revision that the answers were edited from; by default `basedOnRevision` of the file.',
  },
} as const;

/** Answers with the revision that they were edited from; 0 for none. */
export interface AnswersInput {
  readonly answers: Answers;
  readonly baseRevision: number;
}

/**
 * Reads a file of answers and finds its base revision.
 *
 * Fails with a ClientError when the file cannot be read or its base revision
 * is missing or wrong, and with a ValidationError when answers are invalid.
 */
export function readAnswersInput(
  context: ClientContext,
  file: string,
  base: string | undefined,
): Effect.Effect<AnswersInput, Error> {
  return Effect.gen(function* () {
    const answers = yield* Effect.try({
      try: () => parseAnswers(readInputFile(file), file),
      catch: toError,
    });
    const statedBase =
      base === undefined ? answers.basedOnRevision : Number(base);
    if (
      statedBase !== undefined &&
      !(Number.isSafeInteger(statedBase) && statedBase >= 0)
    ) {
      yield* Effect.fail(
        makeBaseError(`--base ${base} is not a revision number`),
      );
    }
    const current = yield* context.store.readCurrent();
    const currentRevision = current?.revision ?? 0;
    if (statedBase === undefined && currentRevision > 0) {
      yield* Effect.fail(
        makeBaseError(
          `${file} does not name the revision that it was edited from; the current revision is ${currentRevision}`,
        ),
      );
    }
    const baseRevision = statedBase ?? 0;
    if (baseRevision > currentRevision) {
      yield* Effect.fail(
        makeBaseError(
          `there is no revision ${baseRevision}; the current revision is ${currentRevision}`,
        ),
      );
    }
    return {answers, baseRevision};
  });
}

function makeBaseError(message: string): ClientError {
  return new ClientError(
    ExitCode.BAD_INPUT,
    message,
    'Start from the answers in force: greengagecross questionnaire --current --out FILE; or name the revision with --base.',
  );
}
