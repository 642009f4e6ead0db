import {defineCommand} from 'citty';
import {Effect} from 'effect';
import {makeRandomId} from '@greengagecross/common';
import {PlatformError} from '@greengagecross/platform';
import type {Answers} from '@greengagecross/questionnaire';
import {
  ChangeOutcome,
  type AcceptReport,
  type ChangeRequest,
} from '../accept/accept_report.js';
import {Acceptor} from '../accept/acceptor.js';
import {formatConflicts, formatUnchanged} from '../accept/format_conflicts.js';
import {ANSWERS_ARGS, readAnswersInput} from '../accept/read_answers_input.js';
import {askConflicts} from '../accept/ask_conflicts.js';
import type {ClientContext} from '../client_context.js';
import {ClientError} from '../client_error.js';
import {ExitCode} from '../exit_code.js';
import {TerminalPrompter} from '../terminal_prompter.js';
import {RevisionWatcher} from '../fleet/revision_watcher.js';
import {
  COMMON_ARGS,
  runClientCommand,
  type CommandOutput,
} from '../run_command.js';

/** Arguments of commands that accept a revision. */
export const ACCEPT_ARGS = {
  ...COMMON_ARGS,
  reason: {
    type: 'string',
    description: 'Reason of the change, shown in the history.',
    default: '',
  },
  operation: {
    type: 'string',
    description:
      'Id of the change; with the same id a change is accepted at most once.',
  },
  rewrite: {
    type: 'boolean',
    description:
      'Write every stored part of the answers and configuration again, even when no answer differs.',
    default: false,
  },
  ask: {
    type: 'boolean',
    description:
      'Ask about each answer in conflict; the default in a terminal without --json.',
    default: false,
  },
  wait: {
    type: 'boolean',
    description:
      'Wait up to 5 s until every daemon in the host list has loaded the revision.',
    default: false,
  },
} as const;

/** `greengagecross accept`: accepts answers as a new revision in force. */
export const acceptCommand = defineCommand({
  meta: {
    name: 'accept',
    description:
      'Accept the answers as a revision. Exit codes: 0 accepted, 1 unknown whether accepted, 2 invalid answers, 3 conflict, 4 some daemon does not have it yet.',
  },
  args: {
    ...ACCEPT_ARGS,
    ...ANSWERS_ARGS,
  },
  run: ({args}) =>
    runClientCommand(args, context =>
      Effect.gen(function* () {
        const input = yield* context.progress.track(
          'Reading the answers',
          readAnswersInput(context, args.answers, args.base),
        );
        const request = {
          ...input,
          operationId: args.operation ?? makeRandomId(),
          operator: context.operator,
          reason: args.reason,
          isRewrite: args.rewrite,
        };
        return yield* acceptChange(context, request, args);
      }),
    ),
});

interface AcceptArgs {
  readonly ask: boolean;
  readonly wait: boolean;
  readonly json: boolean;
}

/**
 * Accepts a change; asks about conflicts with `ask`, or in a terminal without
 * `json`.
 *
 * With `wait` it then waits until every daemon has loaded the revision; the
 * exit code is INCOMPLETE if some daemon has not loaded the revision in time.
 */
export function acceptChange(
  context: ClientContext,
  request: ChangeRequest,
  args: AcceptArgs,
): Effect.Effect<CommandOutput, Error> {
  return Effect.gen(function* () {
    const report = yield* context.progress.track(
      'Accepting',
      tryAccept(context, request),
    );
    if (report.outcome === ChangeOutcome.CONFLICT) {
      const mustAskConflicts = args.ask || (!args.json && process.stdin.isTTY);
      if (!mustAskConflicts) return formatReport(report, request.baseRevision);
      const answers = yield* askInTerminal(context, request, report);
      const nextRequest = {
        ...request,
        answers,
        baseRevision: report.revision,
        operationId: makeRandomId(),
      };
      return yield* acceptChange(context, nextRequest, args);
    }
    const output = formatReport(report, request.baseRevision);
    if (!args.wait) return output;
    const watcher = new RevisionWatcher(context.fleet, context.progress);
    const wait = yield* watcher.wait(report.revision);
    return {
      value: {...report, daemons: wait.daemons},
      lines: [...output.lines, ...wait.lines],
      exitCode: wait.isOnAllDaemons ? ExitCode.OK : ExitCode.INCOMPLETE,
    };
  });
}

function askInTerminal(
  context: ClientContext,
  request: ChangeRequest,
  report: AcceptReport,
): Effect.Effect<Answers, Error> {
  return Effect.acquireUseRelease(
    Effect.sync(() => new TerminalPrompter()),
    prompter => askConflicts(context.store, request, report, prompter),
    prompter => Effect.sync(() => prompter.close()),
  );
}

function tryAccept(
  context: ClientContext,
  request: ChangeRequest,
): Effect.Effect<AcceptReport, Error> {
  return new Acceptor(context.store)
    .accept(request)
    .pipe(
      Effect.mapError(error =>
        error instanceof PlatformError
          ? new ClientError(
              ExitCode.FAILED,
              `it is not known whether the change was accepted: ${error.message}`,
              `Run the same command with --operation ${request.operationId}; the change is accepted at most once.`,
              error,
            )
          : error,
      ),
    );
}

function formatReport(
  report: AcceptReport,
  baseRevision: number,
): CommandOutput {
  const {outcome, revision, changes, isMerged} = report;
  switch (outcome) {
    case ChangeOutcome.ACCEPTED: {
      const merged = isMerged
        ? [`Changes that others accepted since the base revision are kept.`]
        : [];
      const summary = `Revision ${revision} is accepted, with ${changes.length} changed answer(s).`;
      return {value: report, lines: [summary, ...merged]};
    }
    case ChangeOutcome.UNCHANGED:
      return {
        value: report,
        lines: [
          `Nothing to accept: ${formatUnchanged(revision, baseRevision)}`,
        ],
      };
    case ChangeOutcome.CONFLICT:
      return {
        value: report,
        lines: [
          ...formatConflicts(report.conflicts),
          `Not accepted. Start from revision ${revision} and answer these questions again; see docs/operations/operators_conflict.md.`,
        ],
        exitCode: ExitCode.CONFLICT,
      };
  }
}
