import {findAnswerPlace, formatAnswerAt} from '@greengagecross/questionnaire';
import {formatTime} from '../format_time.js';
import type {ReportedConflict} from './accept_report.js';

/** Formats each conflict with both answers, by whom and when. */
export function formatConflicts(
  conflicts: readonly ReportedConflict[],
): string[] {
  return conflicts.flatMap(conflict => {
    const {id, base, mine, theirs} = conflict;
    const {subject, question, item} = findAnswerPlace(id);
    const about = item === undefined ? subject : `${subject}, ${item}`;
    const reason =
      conflict.theirReason === '' ? '' : `: ${conflict.theirReason}`;
    const who = `${conflict.changedBy}, ${formatTime(conflict.changedAtMs)}, revision ${conflict.theirRevision}${reason}`;
    return [
      `Both changed ${about}: ${question?.text ?? ''}`,
      `  id      ${id}`,
      `  before  ${formatAnswerAt(id, base)}`,
      `  theirs  ${formatAnswerAt(id, theirs)}  (${who})`,
      `  yours   ${formatAnswerAt(id, mine)}`,
    ];
  });
}

/** Says why there is nothing to accept, and how older answers come back. */
export function formatUnchanged(
  revision: number,
  baseRevision: number,
): string {
  if (revision === baseRevision) {
    return `revision ${revision} has these answers.`;
  }
  return `revision ${revision} has all that these answers changed since revision ${baseRevision}, and what others changed. To take older answers whole: greengagecross rollback.`;
}
