import {defineCommand} from 'citty';
import {Effect} from 'effect';
import {describeEffects, formatChange} from '@greengagecross/questionnaire';
import {ChangeMerger} from '../accept/change_merger.js';
import {formatConflicts, formatUnchanged} from '../accept/format_conflicts.js';
import {ANSWERS_ARGS, readAnswersInput} from '../accept/read_answers_input.js';
import type {ClientContext} from '../client_context.js';
import {ExitCode} from '../exit_code.js';
import {
  COMMON_ARGS,
  runClientCommand,
  type CommandOutput,
} from '../run_command.js';

const MAX_SHOWN_CHANGES = 40;

/** `greengagecross plan`: shows what accepting the answers would change. */
export const planCommand = defineCommand({
  meta: {
    name: 'plan',
    description:
      'Show which answers accepting would change and with which effects. Exit codes: 0 shown, 2 invalid answers, 3 conflict.',
  },
  args: {
    ...COMMON_ARGS,
    ...ANSWERS_ARGS,
  },
  run: ({args}) =>
    runClientCommand(args, context =>
      context.progress.track(
        'Comparing the answers',
        planChange(context, args.answers, args.base),
      ),
    ),
});

function planChange(
  context: ClientContext,
  file: string,
  base: string | undefined,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const input = yield* readAnswersInput(context, file, base);
    const merger = new ChangeMerger(context.store);
    const current = yield* context.store.readCurrent();
    const change = yield* merger.merge(
      input.answers,
      input.baseRevision,
      current,
    );
    const {changes, conflicts, isMerged, answers, currentAnswers} = change;
    const revision = change.current?.revision ?? 0;
    const effects =
      answers === undefined
        ? []
        : describeEffects(changes, currentAnswers, answers);
    const value = {revision, changes, effects, isMerged, conflicts};
    if (conflicts.length > 0) {
      const lines = formatConflicts(conflicts);
      return {value, lines, exitCode: ExitCode.CONFLICT};
    }
    if (changes.length === 0) {
      return {
        value,
        lines: [
          `Nothing changes: ${formatUnchanged(revision, input.baseRevision)}`,
        ],
      };
    }
    const shown = changes.slice(0, MAX_SHOWN_CHANGES).flatMap(formatChange);
    const more = changes.length - MAX_SHOWN_CHANGES;
    return {
      value,
      lines: [
        `${changes.length} answer(s) differ from revision ${revision}:`,
        '',
        ...shown,
        ...(more > 0 ? [`and ${more} more; --json lists all of them.`] : []),
        '',
        'Effects:',
        ...effects.slice(0, MAX_SHOWN_CHANGES).map(effect => `  ${effect}`),
      ],
    };
  });
}
