import {defineCommand} from 'citty';
import {Effect} from 'effect';
import {makeRandomId} from '@greengagecross/common';
import {AnswerArchive} from '../accept/answer_archive.js';
import {ClientError} from '../client_error.js';
import {ExitCode} from '../exit_code.js';
import {runClientCommand} from '../run_command.js';
import {ACCEPT_ARGS, acceptChange} from './accept.js';

/** `greengagecross rollback`: accepts the answers of an earlier revision again. */
export const rollbackCommand = defineCommand({
  meta: {
    name: 'rollback',
    description:
      'Accept the answers of an earlier revision as a new one. Exit codes: 0 accepted, 1 unknown whether accepted, 2 no such revision, 3 conflict, 4 some daemon does not have it yet.',
  },
  args: {
    ...ACCEPT_ARGS,
    to: {
      type: 'string',
      description: 'Revision whose answers to restore.',
      required: true,
    },
  },
  run: ({args}) =>
    runClientCommand(args, context =>
      Effect.gen(function* () {
        const to = Number(args.to);
        const current = yield* context.store.readCurrent();
        const baseRevision = current?.revision ?? 0;
        const archive = new AnswerArchive(context.store);
        const isExistingRevision =
          Number.isSafeInteger(to) && to > 0 && to <= baseRevision;
        const answers = isExistingRevision
          ? yield* context.progress.track(
              'Reading the answers',
              archive.read(to),
            )
          : undefined;
        if (answers === undefined) {
          return yield* Effect.fail(
            new ClientError(
              ExitCode.BAD_INPUT,
              `there is no revision ${args.to}`,
              'Choose one that greengagecross history lists.',
            ),
          );
        }
        const request = {
          answers,
          baseRevision,
          operationId: args.operation ?? makeRandomId(),
          operator: context.operator,
          reason: args.reason || `back to revision ${to}`,
          isRewrite: args.rewrite,
        };
        return yield* acceptChange(context, request, args);
      }),
    ),
});
