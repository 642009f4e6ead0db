import {writeFileSync} from 'node:fs';
import {defineCommand} from 'citty';
import {Effect} from 'effect';
import {toError} from '@greengagecross/common';
import {
  Interview,
  parseAnswers,
  removeAnswer,
  sortAnswers,
  updateAnswer,
  type Answers,
} from '@greengagecross/questionnaire';
import {AnswerArchive} from '../accept/answer_archive.js';
import type {ClientContext} from '../client_context.js';
import {ClientError} from '../client_error.js';
import {readInputFile} from '../client_settings.js';
import {ExitCode} from '../exit_code.js';
import {
  COMMON_ARGS,
  runClientCommand,
  type CommandOutput,
} from '../run_command.js';
import {TerminalPrompter} from '../terminal_prompter.js';

/** `greengagecross questionnaire`: asks for, checks or changes answers. */
export const questionnaireCommand = defineCommand({
  meta: {
    name: 'questionnaire',
    description:
      'Answer the questions in the terminal, check a file of answers, or change single answers with ID=ANSWER. Exit codes: 0 valid, 2 invalid answers.',
  },
  args: {
    ...COMMON_ARGS,
    answers: {type: 'string', description: 'JSON file with answers to check.'},
    current: {
      type: 'boolean',
      description: 'Start from the answers in force.',
      default: false,
    },
    remove: {
      type: 'string',
      description:
        'Id of an answer, a service or a customer to remove, such as customers/NAME.',
    },
    ask: {
      type: 'boolean',
      description:
        'Ask every question, even when --answers or --current gives answers.',
      default: false,
    },
    out: {type: 'string', description: 'File to write the answers to.'},
  },
  run: ({args}) =>
    runClientCommand(args, context => runQuestionnaire(context, args, args._)),
});

interface QuestionnaireArgs {
  readonly answers?: string | undefined;
  readonly current: boolean;
  readonly remove?: string | undefined;
  readonly ask: boolean;
  readonly out?: string | undefined;
}

function runQuestionnaire(
  context: ClientContext,
  args: QuestionnaireArgs,
  assignments: readonly string[],
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const start = yield* context.progress.track(
      'Reading the answers',
      readStartingAnswers(context, args),
    );
    const mustAsk = args.ask || start.answers === undefined;
    const initial = mustAsk
      ? yield* Effect.tryPromise({
          try: () => askQuestions(start.answers),
          catch: toError,
        })
      : start.answers;
    const changed = yield* Effect.try({
      try: () => applyChanges(initial as Answers, args.remove, assignments),
      catch: toError,
    });
    const answers = {
      basedOnRevision: start.basedOnRevision,
      ...sortAnswers(changed),
    };
    if (args.out !== undefined) {
      writeFileSync(args.out, `${JSON.stringify(answers, null, 2)}\n`);
    }
    return {value: answers, lines: describeAnswers(answers, args.out)};
  });
}

interface StartingAnswers {
  /** Undefined without --answers and --current. */
  readonly answers: Answers | undefined;
  /** Base revision of the answers; 0 for none. */
  readonly basedOnRevision: number;
}

function readStartingAnswers(
  context: ClientContext,
  args: QuestionnaireArgs,
): Effect.Effect<StartingAnswers, Error> {
  return Effect.gen(function* () {
    const file = args.answers;
    if (file !== undefined) {
      const answers = yield* Effect.try({
        try: () => parseAnswers(readInputFile(file), file),
        catch: toError,
      });
      return {answers, basedOnRevision: answers.basedOnRevision ?? 0};
    }
    if (!args.current) return {answers: undefined, basedOnRevision: 0};
    const current = yield* context.store.readCurrent();
    if (current === undefined) {
      return yield* Effect.fail(
        new ClientError(
          ExitCode.BAD_INPUT,
          'there are no answers in force yet',
          'Leave out --current to answer every question.',
        ),
      );
    }
    const answers = yield* new AnswerArchive(context.store).readRecord(current);
    return {answers, basedOnRevision: current.revision};
  });
}

async function askQuestions(earlier: Answers | undefined): Promise<Answers> {
  const prompter = new TerminalPrompter();
  try {
    return await new Interview(prompter).run(earlier);
  } finally {
    prompter.close();
  }
}

function applyChanges(
  answers: Answers,
  removed: string | undefined,
  assignments: readonly string[],
): Answers {
  const kept = removed === undefined ? answers : removeAnswer(answers, removed);
  return assignments.reduce((changed, assignment) => {
    const at = assignment.indexOf('=');
    if (at < 1) {
      throw new ClientError(
        ExitCode.BAD_INPUT,
        `${assignment} is not ID=ANSWER`,
        'Write an assignment such as customers/NAME/atMostAtOnce=50.',
      );
    }
    const id = assignment.slice(0, at);
    return updateAnswer(changed, id, assignment.slice(at + 1));
  }, kept);
}

function describeAnswers(answers: Answers, out: string | undefined): string[] {
  const {engines, plainServices, customers} = answers;
  const next =
    out === undefined
      ? 'Save the answers with --out FILE.'
      : `They were written to ${out}. Next: greengagecross plan --answers ${out}`;
  return [
    `The answers of ${answers.deployment} are valid: ${engines.length} model service(s), ${plainServices.length} plain service(s), ${customers.length} customer(s).`,
    next,
  ];
}
