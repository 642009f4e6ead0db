import {defineCommand} from 'citty';
import {Effect} from 'effect';
import {
  describeEffect,
  formatChange,
  makeConfiguration,
  type AnswerChange,
  type Answers,
} from '@greengagecross/questionnaire';
import {ChangeMerger} from '../accept/change_merger.js';
import {formatConflicts} from '../accept/format_conflicts.js';
import {readAnswersInput} from '../accept/read_answers_input.js';
import type {ClientContext} from '../client_context.js';
import {ExitCode} from '../exit_code.js';
import {COMMON_ARGS, runCommand, type CommandOutput} from '../run_command.js';

const MAX_SHOWN_CHANGES = 40;

/** `greengagecross plan`: shows what accepting the answers would change. */
export const planCommand = defineCommand({
  meta: {
    name: 'plan',
    description:
      'Show what accepting the answers would change and do. Exit codes: 0 shown, 2 wrong answers, 3 conflict.',
  },
  args: {
    ...COMMON_ARGS,
    answers: {
      type: 'string',
      description: 'JSON file with the answers.',
      required: true,
    },
    base: {
      type: 'string',
      description: 'Revision that the answers were made from.',
    },
  },
  run: ({args}) =>
    runCommand(args, context =>
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
    const effects = listEffects(changes, currentAnswers, answers);
    const value = {revision, changes, effects, isMerged, conflicts};
    if (conflicts.length > 0) {
      const lines = formatConflicts(conflicts);
      return {value, lines, exitCode: ExitCode.CONFLICT};
    }
    if (changes.length === 0) {
      return {
        value,
        lines: [`Nothing changes: revision ${revision} has these answers.`],
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
        ...(more > 0 ? [`and ${more} more; --json lists all.`] : []),
        '',
        'What it does:',
        ...effects.map(effect => `  ${effect}`),
      ],
    };
  });
}

/** Lists what changes do, in sentences. */
function listEffects(
  changes: readonly AnswerChange[],
  before: Answers | undefined,
  after: Answers | undefined,
): string[] {
  const sentences = changes.flatMap(change => describeEffect(change) ?? []);
  const moved = after === undefined ? [] : listMoves(before, after);
  const effects = [...new Set([...moved, ...sentences])];
  if (before === undefined) {
    return ['The fleet starts to serve these services.'];
  }
  if (effects.length > 0) return effects.slice(0, MAX_SHOWN_CHANGES);
  return ['No chat moves and nothing more is refused.'];
}

/** Estimates the chats that move when a service's servers change. */
function listMoves(before: Answers | undefined, after: Answers): string[] {
  if (before === undefined) return [];
  const old = new Map(
    makeConfiguration(before).services.map(s => [s.name, s.backendServers]),
  );
  return makeConfiguration(after).services.flatMap(service => {
    const was = new Set(old.get(service.name)?.map(server => server.id));
    const now = service.backendServers.map(server => server.id);
    const added = now.filter(id => !was.has(id)).length;
    const removed = [...was].filter(id => !now.includes(id)).length;
    if (was.size === 0 || added + removed === 0) return [];
    const share = Math.min(1, removed / was.size + added / now.length);
    const percent = (share * 100).toFixed(1);
    return [
      `${service.name}: ${was.size} -> ${now.length} servers; about ${percent} % of returning chats move.`,
    ];
  });
}
