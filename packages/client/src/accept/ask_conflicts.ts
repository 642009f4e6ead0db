import {Effect} from 'effect';
import {toError, ValidationError} from '@greengagecross/common';
import type {ConfigurationStore} from '@greengagecross/platform';
import {
  mergeAnswers,
  parseAnswerAt,
  type Answers,
  type Prompter,
} from '@greengagecross/questionnaire';
import type {
  AcceptReport,
  ChangeRequest,
  ReportedConflict,
} from './accept_report.js';
import {AnswerArchive} from './answer_archive.js';
import {formatConflicts} from './format_conflicts.js';

/**
 * Asks the operator to resolve each conflict and merges all other changes.
 *
 * Fails with a ValidationError when the chosen answers are invalid together.
 */
export function askConflicts(
  store: ConfigurationStore,
  request: ChangeRequest,
  report: AcceptReport,
  prompter: Prompter,
): Effect.Effect<Answers, Error> {
  const archive = new AnswerArchive(store);
  return Effect.gen(function* () {
    const base = yield* archive.read(request.baseRevision);
    const current = yield* archive.read(report.revision);
    const chosen = new Map<string, unknown>();
    for (const conflict of report.conflicts) {
      const answer = yield* Effect.tryPromise({
        try: () => askAnswer(conflict, prompter),
        catch: toError,
      });
      chosen.set(conflict.id, answer);
    }
    const mine = request.answers;
    const result = mergeAnswers(base, mine, current ?? mine, chosen);
    if (result.merged !== undefined) return result.merged;
    return yield* Effect.fail(
      new ValidationError('the chosen answers', result.problems),
    );
  });
}

/** Asks until an answer is valid; an empty line chooses theirs, in force now. */
async function askAnswer(
  conflict: ReportedConflict,
  prompter: Prompter,
): Promise<unknown> {
  const {id} = conflict;
  prompter.print(formatConflicts([conflict]));
  for (;;) {
    const prompt = 'Theirs, yours or another answer? [theirs] > ';
    const line = (await prompter.ask(prompt)).trim();
    if (line === '' || line === 'theirs') return conflict.theirs;
    if (line === 'yours') return conflict.mine;
    try {
      return parseAnswerAt(id, line);
    } catch (thrown) {
      prompter.print([toError(thrown).message]);
    }
  }
}
