import {Effect} from 'effect';
import {toError} from '@greengagecross/common';
import {
  getAnswer,
  mergeAnswers,
  setAnswer,
  updateAnswer,
  type Answers,
} from '@greengagecross/questionnaire';
import type {ClientContext} from '../client_context.js';
import {TerminalPrompter} from '../terminal_prompter.js';
import type {
  AcceptReport,
  ChangeRequest,
  ReportedConflict,
} from './accept_report.js';
import {AnswerArchive} from './answer_archive.js';

/** Asks each question in conflict again; everything else is merged. */
export function askInTerminal(
  context: ClientContext,
  request: ChangeRequest,
  report: AcceptReport,
): Effect.Effect<Answers, Error> {
  const archive = new AnswerArchive(context.store);
  return Effect.gen(function* () {
    const base = yield* archive.read(request.baseRevision);
    const current = yield* archive.read(report.revision);
    let mine = request.answers;
    let theirs = current ?? mine;
    for (const conflict of report.conflicts) {
      const {id} = conflict;
      const chosen = yield* Effect.tryPromise({
        try: () => askAgain(conflict, mine),
        catch: toError,
      });
      mine = setAnswer(mine, id, chosen);
      theirs = setAnswer(theirs, id, chosen);
    }
    return mergeAnswers(base, mine, theirs).merged ?? mine;
  });
}

/** Asks until there is a right answer; an empty line takes theirs. */
async function askAgain(
  conflict: ReportedConflict,
  mine: Answers,
): Promise<unknown> {
  const {id} = conflict;
  const prompter = new TerminalPrompter();
  try {
    for (;;) {
      const prompt = `${id}: theirs, yours or another answer? [theirs] > `;
      const line = (await prompter.ask(prompt)).trim();
      if (line === '' || line === 'theirs') return conflict.theirs;
      if (line === 'yours') return conflict.mine;
      try {
        return getAnswer(updateAnswer(mine, id, line), id);
      } catch (thrown) {
        prompter.print([toError(thrown).message]);
      }
    }
  } finally {
    prompter.close();
  }
}
