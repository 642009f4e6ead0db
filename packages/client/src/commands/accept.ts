import {defineCommand} from 'citty';
import {Clock, Effect} from 'effect';
import {decodeJson, makeRequestId} from '@greengagecross/common';
import {AcceptOutcome} from '@greengagecross/platform';
import {
  AnswersSchema,
  encodeConfiguration,
  makeConfiguration,
} from '@greengagecross/questionnaire';
import type {ClientContext} from '../client_context.js';
import {readInputFile} from '../client_settings.js';
import {ExitCode} from '../exit_code.js';
import {COMMON_ARGS, runCommand, type CommandOutput} from '../run_command.js';

/** `greengagecross accept`: puts the configuration of the answers in force. */
export const acceptCommand = defineCommand({
  meta: {name: 'accept', description: 'Accept the answers as a revision.'},
  args: {
    ...COMMON_ARGS,
    answers: {
      type: 'string',
      description: 'JSON file with the answers.',
      required: true,
    },
    base: {
      type: 'string',
      description: 'Revision that the answers were based on.',
    },
    reason: {
      type: 'string',
      description: 'Why, for the history.',
      default: '',
    },
    operation: {
      type: 'string',
      description: 'Id of the operation, to send it again.',
    },
  },
  run: ({args}) =>
    runCommand(args, context =>
      acceptAnswers(context, {
        answersText: readInputFile(args.answers),
        base: args.base === undefined ? undefined : Number(args.base),
        operationId: args.operation ?? makeRequestId(),
        reason: args.reason,
      }),
    ),
});

interface AcceptRequest {
  readonly answersText: string;
  readonly base: number | undefined;
  readonly operationId: string;
  readonly reason: string;
}

function acceptAnswers(
  context: ClientContext,
  request: AcceptRequest,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const answers = yield* Effect.try({
      try: () => decodeJson(AnswersSchema, request.answersText, 'answers'),
      catch: thrown => thrown as Error,
    });
    const current = yield* context.store.readCurrent();
    const result = yield* context.store.accept({
      baseRevision: request.base ?? current?.revision ?? 0,
      configurationBytes: encodeConfiguration(makeConfiguration(answers)),
      answersBytes: JSON.stringify(answers),
      operationId: request.operationId,
      acceptedBy: context.operator,
      acceptedAtMs: yield* Clock.currentTimeMillis,
      reason: request.reason,
    });
    const {outcome, current: standing} = result;
    const revision = standing?.revision ?? 0;
    const value = {outcome, revision, operationId: request.operationId};
    if (outcome === AcceptOutcome.ACCEPTED) {
      return {value, lines: [`Revision ${revision} is accepted.`]};
    }
    const who = standing?.acceptedBy ?? 'somebody';
    return {
      value,
      lines: [`Not accepted: ${who} has put revision ${revision} in between.`],
      exitCode: ExitCode.CONFLICT,
    };
  });
}
