import {Effect} from 'effect';
import {toError} from '@greengagecross/common';
import {parseAnswers, type Answers} from '@greengagecross/questionnaire';
import type {ClientContext} from '../client_context.js';
import {ClientError} from '../client_error.js';
import {readInputFile} from '../client_settings.js';
import {ExitCode} from '../exit_code.js';

/** Arguments of each command that reads a file of answers. */
export const ANSWERS_ARGS = {
  answers: {
    type: 'string',
    description: 'JSON file with the answers.',
    required: true,
  },
  base: {
    type: 'string',
    description: 'Revision that the answers were made from.',
  },
} as const;

/** Answers with the revision that they were made from. */
export interface AnswersInput {
  readonly answers: Answers;
  readonly baseRevision: number;
}

/** Reads a file of answers and finds its base revision. */
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
    const given = base === undefined ? answers.basedOnRevision : Number(base);
    if (given !== undefined && !(Number.isSafeInteger(given) && given >= 0)) {
      yield* Effect.fail(makeBadBase(`--base ${base} is no revision`));
    }
    const current = yield* context.store.readCurrent();
    const newest = current?.revision ?? 0;
    if (given === undefined && newest > 0) {
      yield* Effect.fail(
        makeBadBase(
          `${file} does not say which revision it was made from, and ${newest} stands`,
        ),
      );
    }
    const baseRevision = given ?? 0;
    if (baseRevision > newest) {
      yield* Effect.fail(
        makeBadBase(`revision ${baseRevision} is not known; ${newest} stands`),
      );
    }
    return {answers, baseRevision};
  });
}

function makeBadBase(message: string): ClientError {
  return new ClientError(
    ExitCode.BAD_INPUT,
    message,
    'Start from the answers in force: greengagecross questionnaire --current --out FILE; or name the revision with --base.',
  );
}
